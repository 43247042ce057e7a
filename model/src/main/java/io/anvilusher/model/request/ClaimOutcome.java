package io.anvilusher.model.request;

/**
 * How a claimed call ended.
 */
public enum ClaimOutcome {

	/** It ran and its answer is known. */
	ANSWERED,

	/** It did not run and never will. */
	NOT_RUN,

	/** It may have run; its answer is lost. */
	UNKNOWN

}
