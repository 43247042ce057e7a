package io.anvilusher.gateway.allowance;

import io.anvilusher.logic.allowance.AllowanceCharge;
import io.anvilusher.logic.allowance.AllowanceDecision;

/**
 * Decides whether requests are within the allowances of their workspaces. Used on the
 * traffic thread.
 */
public interface AllowanceGuard {

	/**
	 * Decides whether a request is within the allowance, and counts its cost if so.
	 * @param workspace name of the workspace
	 * @param cost cost of the request in the unit of the limit; not negative
	 * @return the decision; always admitted for a workspace without a limit
	 */
	AllowanceDecision admit(String workspace, long cost);

	/**
	 * Records that a request is being sent to a server. Called for each attempt.
	 * @param charge the charge of the request
	 */
	void markSent(AllowanceCharge charge);

	/**
	 * Returns the cost of a request that no server has run and that will not be sent any
	 * more. Calls after the first one have no effect.
	 * @param charge the charge of the request
	 */
	void giveBack(AllowanceCharge charge);

}
