package io.anvilusher.logic.usage;

/**
 * Estimates the true time of day on a machine whose wall clock may jump and jump back
 * later. During a jump, the estimate follows the monotonic clock. A difference that lasts
 * is accepted, because the monotonic clock of a machine stops while it is suspended. Not
 * safe for use by several threads.
 */
public final class WallClockEstimator {

	/**
	 * Largest difference, in ms, that is treated as an adjustment by a time service and
	 * not as a jump.
	 */
	static final long MAX_ADJUSTMENT_MS = 100;

	/**
	 * Time after which a difference is accepted, in ms. Longer than a temporary jump
	 * lasts.
	 */
	static final long ACCEPT_DIFFERENCE_AFTER_MS = 12_000;

	private long offsetMs;

	private long differsSinceMs = Long.MIN_VALUE;

	/**
	 * Creates an estimator that assumes that the current wall clock is correct.
	 * @param wallMs wall clock time, in ms since 1970
	 * @param monotonicMs time of the monotonic clock, in ms
	 */
	public WallClockEstimator(long wallMs, long monotonicMs) {
		this.offsetMs = wallMs - monotonicMs;
	}

	/**
	 * Estimates the true time of day and updates the estimate from both clocks.
	 * @param wallMs wall clock time, in ms since 1970
	 * @param monotonicMs time of the monotonic clock, in ms
	 * @return the estimated time, in ms since 1970
	 */
	public long estimateMs(long wallMs, long monotonicMs) {
		long differenceMs = wallMs - monotonicMs - this.offsetMs;
		if (Math.abs(differenceMs) <= MAX_ADJUSTMENT_MS) {
			this.offsetMs += differenceMs / 8;
			this.differsSinceMs = Long.MIN_VALUE;
		}
		else if (this.differsSinceMs == Long.MIN_VALUE) {
			this.differsSinceMs = monotonicMs;
		}
		else if (monotonicMs - this.differsSinceMs > ACCEPT_DIFFERENCE_AFTER_MS) {
			this.offsetMs += differenceMs;
			this.differsSinceMs = Long.MIN_VALUE;
		}
		return monotonicMs + this.offsetMs;
	}

}
