package io.anvilusher.logic.allowance;

import java.util.List;
import java.util.Map;

import io.anvilusher.model.routing.WorkspaceLimit;

/**
 * This gateway's side of the workspace allowances: admits requests within the ceilings
 * that the allocator granted, and determines what to report to which allocator. Confined
 * to one thread.
 */
public final class LocalAllowance {

	/** Longest time between two reports, in ms. */
	public static final long REPORT_INTERVAL_MS = 250;

	/** Shortest time between two reports, in ms. */
	public static final long URGENT_INTERVAL_MS = 20;

	/** Validity of a grant from the time of the report that it answers, in ms. */
	public static final long GRANT_MS = 1_000;

	/** Time over which demand is measured, in ms. */
	public static final long DEMAND_WINDOW_MS = 500;

	/**
	 * Creates the local side.
	 * @param terms the terms of all limits
	 * @param self name of this gateway
	 * @param run identifies this run of the process; positive and different in each run
	 */
	public LocalAllowance(AllowanceTerms terms, String self, long run) {
		throw new UnsupportedOperationException();
	}

	/**
	 * Sets the limits. Use that was counted before is kept.
	 * @param limits the limits by workspace
	 * @param nowMs current time of the monotonic clock
	 */
	public void setLimits(Map<String, WorkspaceLimit> limits, long nowMs) {
		throw new UnsupportedOperationException();
	}

	/**
	 * Sets the registered gateways. Called after each successful read of the list, also
	 * if it did not change.
	 * @param capacities the capacities by name of the gateway
	 * @param nowMs current time of the monotonic clock
	 */
	public void setGateways(Map<String, Double> capacities, long nowMs) {
		throw new UnsupportedOperationException();
	}

	/**
	 * Decides whether a request is within the allowance and counts its cost if so. A
	 * workspace without limit is always admitted.
	 * @param workspace name of the workspace
	 * @param cost cost of the request, in the unit of the limit; not negative
	 * @param nowMs current time of the monotonic clock
	 * @return the decision
	 */
	public AllowanceDecision admit(String workspace, long cost, long nowMs) {
		throw new UnsupportedOperationException();
	}

	/**
	 * Records that a request is being sent to a server; its cost counts for one window
	 * from now on. Called again for each further attempt.
	 * @param charge the charge of the request
	 * @param nowMs current time of the monotonic clock
	 */
	public void markSent(AllowanceCharge charge, long nowMs) {
		throw new UnsupportedOperationException();
	}

	/**
	 * Returns the cost of a request that was not sent, or that no server ran. Has no
	 * effect if it was returned before.
	 * @param charge the charge of the request
	 * @param nowMs current time of the monotonic clock
	 */
	public void giveBack(AllowanceCharge charge, long nowMs) {
		throw new UnsupportedOperationException();
	}

	/**
	 * Takes in a grant.
	 * @param gateway name of the gateway that sent it
	 * @param grant the grant
	 * @param nowMs current time of the monotonic clock
	 */
	public void receive(String gateway, AllowanceGrant grant, long nowMs) {
		throw new UnsupportedOperationException();
	}

	/**
	 * Returns the reports that are due. Called after requests were admitted or a grant
	 * was received, and at least every {@link #URGENT_INTERVAL_MS}; cheap if nothing is
	 * due.
	 * @param nowMs current time of the monotonic clock
	 * @return the reports to be sent now
	 */
	public List<OutgoingReport> dueReports(long nowMs) {
		throw new UnsupportedOperationException();
	}

}
