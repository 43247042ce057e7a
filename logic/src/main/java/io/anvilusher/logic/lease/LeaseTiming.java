package io.anvilusher.logic.lease;

/**
 * The times of a lease. All are measured with monotonic clocks. Two clocks may drift
 * apart by at most {@code maxDriftShare} of the elapsed time.
 *
 * @param durationMs how long a claim or renewal lasts, which its holder counts from
 * before it sent the record
 * @param renewEveryMs time between two renewals
 * @param marginMs how long a challenger waits after the duration has passed, and how long
 * a new holder waits before it calls receivers that do not check fencing tokens
 * @param maxDriftShare largest drift between two clocks, as a share of the elapsed time;
 * at least 0 and less than 1
 */
public record LeaseTiming(long durationMs, long renewEveryMs, long marginMs, double maxDriftShare) {

	public LeaseTiming {
		if (renewEveryMs <= 0 || durationMs < 2 * renewEveryMs || marginMs < 0) {
			throw new IllegalArgumentException(
					"renewEveryMs must be positive, durationMs at least twice that, marginMs not negative: durationMs="
							+ durationMs + ", renewEveryMs=" + renewEveryMs + ", marginMs=" + marginMs);
		}
		if (maxDriftShare < 0 || maxDriftShare >= 1) {
			throw new IllegalArgumentException("maxDriftShare must be at least 0 and less than 1: " + maxDriftShare);
		}
	}

	/**
	 * Returns how long a holder may rely on a claim or renewal, counted from before it
	 * sent the record.
	 * @return the duration in ms, shortened in case the holder's clock runs slow
	 */
	public long holderValidityMs() {
		return (long) (this.durationMs * (1 - this.maxDriftShare));
	}

	/**
	 * Returns how long a challenger waits before it claims, counted from when it read the
	 * newest record of the lease.
	 * @param leaseDurationMs duration that the current holder claimed the lease for
	 * @return the wait in ms, lengthened in case the challenger's clock runs fast
	 */
	public long challengerWaitMs(long leaseDurationMs) {
		return (long) (leaseDurationMs * (1 + this.maxDriftShare)) + this.marginMs;
	}

}
