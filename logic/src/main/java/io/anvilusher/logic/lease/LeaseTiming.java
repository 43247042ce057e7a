package io.anvilusher.logic.lease;

/**
 * Times of a lease. All are counted on monotonic clocks, which may drift against each
 * other by a bounded share.
 *
 * @param durationMs how long a claim or renewal lasts, counted by its holder from before
 * it was sent
 * @param renewEveryMs time between two renewals
 * @param marginMs what a challenger waits beyond the duration, and what a new holder
 * waits before it calls receivers that do not check fencing tokens
 * @param maxDriftShare most by which two clocks drift apart, as a share of the time
 * passed
 */
public record LeaseTiming(long durationMs, long renewEveryMs, long marginMs, double maxDriftShare) {

	public LeaseTiming {
		if (renewEveryMs <= 0 || durationMs < 2 * renewEveryMs || marginMs < 0) {
			throw new IllegalArgumentException("A lease lasts at least two renewal intervals");
		}
		if (maxDriftShare < 0 || maxDriftShare >= 1) {
			throw new IllegalArgumentException("The drift is a share between 0 and 1");
		}
	}

	/**
	 * Returns the time that a holder trusts a claim or renewal.
	 * @return the time, shortened for a slow clock
	 */
	public long holderTrustMs() {
		return (long) (this.durationMs * (1 - this.maxDriftShare));
	}

	/**
	 * Returns the time that a challenger waits after it read the newest record.
	 * @param leaseDurationMs duration that the record's lease was claimed for
	 * @return the time, lengthened for a fast clock
	 */
	public long challengerWaitMs(long leaseDurationMs) {
		return (long) (leaseDurationMs * (1 + this.maxDriftShare)) + this.marginMs;
	}

}
