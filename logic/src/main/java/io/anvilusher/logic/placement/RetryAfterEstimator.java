package io.anvilusher.logic.placement;

/**
 * Estimates the retry-after time for a rejected caller. The estimate is the time to
 * complete the pending work at the recent throughput, but at least the duration of the
 * overload so far: nothing else is known about how much longer it will last. A random
 * spread on top keeps callers from retrying all at once. Designed for overloads of a few
 * seconds and callers that retry once.
 */
public final class RetryAfterEstimator {

	/**
	 * Shortest retry-after time: a round trip plus one engine batch. Throughput is
	 * measured over intervals of at least this length.
	 */
	static final double MIN_RETRY_AFTER_MS = 50;

	/** Longest retry-after time: the longest load peak of the expected workloads. */
	static final double MAX_RETRY_AFTER_MS = 3_000;

	/** Weight of the newest interval in the moving average of the throughput. */
	static final double THROUGHPUT_WEIGHT = 0.2;

	/**
	 * An overload is over once no request was rejected for this time: a few engine
	 * batches.
	 */
	static final long OVERLOAD_END_MS = 400;

	/** Maximum of the random spread, as a share of the estimate. */
	static final double SPREAD_SHARE = 0.5;

	private long overloadSinceMs;

	private long lastRejectedMs = Long.MIN_VALUE / 2;

	private double unitsPerMs;

	private long lastSampleMs = Long.MIN_VALUE;

	private double unitsSinceSample;

	/**
	 * Records completed work for the throughput.
	 * @param units completed work, in the unit that {@link #retryAfterMs} gets
	 * @param nowMs current time of the monotonic clock
	 */
	public void onDone(double units, long nowMs) {
		if (this.lastSampleMs == Long.MIN_VALUE) {
			this.lastSampleMs = nowMs;
		}
		this.unitsSinceSample += units;
		long elapsedMs = nowMs - this.lastSampleMs;
		if (elapsedMs < MIN_RETRY_AFTER_MS) {
			return;
		}
		double throughput = this.unitsSinceSample / elapsedMs;
		this.unitsPerMs = (this.unitsPerMs == 0) ? throughput
				: this.unitsPerMs + THROUGHPUT_WEIGHT * (throughput - this.unitsPerMs);
		this.unitsSinceSample = 0;
		this.lastSampleMs = nowMs;
	}

	/**
	 * Returns when a caller that is rejected now should retry.
	 * @param aheadUnits accepted work that is still pending
	 * @param draw a random number from 0 to 1 that spreads the callers
	 * @param nowMs current time of the monotonic clock
	 * @return milliseconds from now
	 */
	public long retryAfterMs(double aheadUnits, double draw, long nowMs) {
		if (nowMs - this.lastRejectedMs > OVERLOAD_END_MS) {
			this.overloadSinceMs = nowMs;
		}
		this.lastRejectedMs = nowMs;
		double workMs = (this.unitsPerMs > 0) ? aheadUnits / this.unitsPerMs : MIN_RETRY_AFTER_MS;
		double waitMs = Math.max(workMs, nowMs - this.overloadSinceMs);
		double bounded = Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waitMs));
		return (long) Math.min(MAX_RETRY_AFTER_MS, bounded * (1 + SPREAD_SHARE * draw));
	}

}
