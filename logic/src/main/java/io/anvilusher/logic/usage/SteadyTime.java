package io.anvilusher.logic.usage;

/**
 * Estimates the true time of day on a machine whose time of day may jump and come back.
 * The steady clock carries the time across a jump; a difference that lasts is taken over,
 * since a machine that was suspended comes back with a steady clock that is behind. Used
 * from one thread.
 */
public final class SteadyTime {

	/** Difference that is no jump, in ms. Source: adjustment by a time service. */
	static final long SMALL_MS = 100;

	/**
	 * Time after which a difference is taken over, in ms. Source: longer than a jump
	 * lasts.
	 */
	static final long LASTING_MS = 12_000;

	private long offsetMs;

	private long differsSinceMs = Long.MIN_VALUE;

	/**
	 * Begins with the time of day as it is.
	 * @param wallMs time of day, in ms since 1970
	 * @param steadyMs reading of the steady clock
	 */
	public SteadyTime(long wallMs, long steadyMs) {
		this.offsetMs = wallMs - steadyMs;
	}

	/**
	 * Estimates the true time.
	 * @param wallMs time of day, in ms since 1970
	 * @param steadyMs reading of the steady clock
	 * @return ms since 1970
	 */
	public long trueMs(long wallMs, long steadyMs) {
		long differenceMs = wallMs - steadyMs - this.offsetMs;
		if (Math.abs(differenceMs) <= SMALL_MS) {
			this.offsetMs += differenceMs / 8;
			this.differsSinceMs = Long.MIN_VALUE;
		}
		else if (this.differsSinceMs == Long.MIN_VALUE) {
			this.differsSinceMs = steadyMs;
		}
		else if (steadyMs - this.differsSinceMs > LASTING_MS) {
			this.offsetMs += differenceMs;
			this.differsSinceMs = Long.MIN_VALUE;
		}
		return steadyMs + this.offsetMs;
	}

}
