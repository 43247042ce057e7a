package io.anvilusher.logic.allowance;

/**
 * Whether a request is within the allowance of its workspace.
 */
public sealed interface AllowanceDecision {

	/**
	 * The request is within the allowance.
	 *
	 * @param charge the cost of the request, to be marked as sent or to be returned
	 */
	record Admitted(AllowanceCharge charge) implements AllowanceDecision {

	}

	/**
	 * The request is over the allowance.
	 *
	 * @param retryAfterMs time until there is expected to be room again, in ms; at least
	 * 1
	 */
	record Refused(long retryAfterMs) implements AllowanceDecision {

	}

}
