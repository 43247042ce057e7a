package io.anvilusher.model.config;

/**
 * What happens to a call that needs an idempotency claim while the log takes none.
 */
public enum LogOutagePolicy {

	/** The call is refused as not run. */
	REFUSE,

	/** The call runs without a claim, so that a repeat by the caller may run again. */
	RUN_UNCLAIMED

}
