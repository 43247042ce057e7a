package io.anvilusher.logic.allowance;

import io.anvilusher.model.routing.WorkspaceLimit;

/**
 * The terms under which usage limits apply in a deployment.
 *
 * @param windowMs length of the sliding window of all limits, in ms; positive
 * @param overage part of a limit by which its use may exceed it, such as 0.1
 * @param slack use by which a limit may be exceeded in addition, in the unit of the limit
 */
public record AllowanceTerms(long windowMs, double overage, double slack) {

	/** The terms of a deployment that states none. */
	public static final AllowanceTerms DEFAULT = new AllowanceTerms(8_000, 0, 0);

	private static final double MS_PER_S = 1_000;

	/** More than any deployment serves; sums over all gateways do not overflow. */
	private static final double MAX_CAPACITY = 1e15;

	public AllowanceTerms {
		if (windowMs <= 0 || !(overage >= 0) || !(slack >= 0)) {
			throw new IllegalArgumentException("window of " + windowMs + " ms, overage " + overage + " and slack "
					+ slack + " are not terms of an allowance");
		}
	}

	/**
	 * Returns the use that a limit allows in a window.
	 * @param limit the limit
	 * @return the use in the unit of the limit, bounded
	 */
	public long capacity(WorkspaceLimit limit) {
		return (long) Math.min(MAX_CAPACITY, limit.ratePerS() * this.windowMs / MS_PER_S + limit.burst());
	}

	/**
	 * Returns the use by which the capacity of a limit may be exceeded in a window.
	 * @param limit the limit
	 * @return the use in the unit of the limit
	 */
	public double overdraft(WorkspaceLimit limit) {
		return capacity(limit) * this.overage + this.slack;
	}

}
