package io.anvilusher.logic.allowance;

import java.util.List;
import java.util.Map;

import io.anvilusher.model.routing.WorkspaceLimit;

/**
 * The allocator's side of the workspace allowances: divides the shares of the gateways
 * that report to this one among them. Each gateway has an allocator, which is idle while
 * no gateway reports to it. Confined to one thread.
 */
public final class AllowanceAllocator {

	/**
	 * Creates an allocator.
	 * @param terms the terms of all limits
	 * @param run identifies this run of the process; positive and different in each run
	 */
	public AllowanceAllocator(AllowanceTerms terms, long run) {
		throw new UnsupportedOperationException();
	}

	/**
	 * Sets the limits.
	 * @param limits the limits by workspace
	 */
	public void setLimits(Map<String, WorkspaceLimit> limits) {
		throw new UnsupportedOperationException();
	}

	/**
	 * Sets the registered gateways.
	 * @param capacities the capacities by name of the gateway
	 * @param nowMs current time of the monotonic clock
	 */
	public void setGateways(Map<String, Double> capacities, long nowMs) {
		throw new UnsupportedOperationException();
	}

	/**
	 * Takes in a report.
	 * @param gateway name of the gateway that sent it
	 * @param report the report
	 * @param nowMs current time of the monotonic clock
	 * @return the grants to be sent now: the answer, and changes for other gateways
	 */
	public List<OutgoingGrant> receive(String gateway, AllowanceReport report, long nowMs) {
		throw new UnsupportedOperationException();
	}

	/**
	 * Returns changes that are to be sent without a report. Called at least every
	 * {@link LocalAllowance#URGENT_INTERVAL_MS}.
	 * @param nowMs current time of the monotonic clock
	 * @return the grants to be sent now
	 */
	public List<OutgoingGrant> dueGrants(long nowMs) {
		throw new UnsupportedOperationException();
	}

	/**
	 * Returns registered gateways that have been silent for so long that their entries
	 * may be deleted from the list of gateways. Empty unless more than half of the
	 * registered gateways report to this one.
	 * @param nowMs current time of the monotonic clock
	 * @return the names of the gateways
	 */
	public List<String> lostGateways(long nowMs) {
		throw new UnsupportedOperationException();
	}

}
