package io.anvilusher.model.request;

/**
 * The outcome of a request with an idempotency claim.
 */
public enum ClaimOutcome {

	/** The request ran and its response is known. */
	ANSWERED,

	/** The request did not run and never will. */
	NOT_RUN,

	/** The request may have run; its response is lost. */
	UNKNOWN

}
