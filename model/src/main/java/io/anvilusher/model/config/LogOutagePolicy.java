package io.anvilusher.model.config;

/**
 * Handling of requests that need an idempotency claim while the control log accepts no
 * records.
 */
public enum LogOutagePolicy {

	/** The request is refused as not run. */
	REFUSE,

	/**
	 * The request runs without a claim. If the caller sends it again, it may run a second
	 * time.
	 */
	RUN_UNCLAIMED

}
