package io.anvilusher.logic.placement;

/**
 * When a caller that was turned away should come back: after the work that is ahead has
 * been done at the pace seen lately, spread over as long again so that callers do not
 * return together. Load pattern: overload of some seconds with callers that come back
 * once.
 */
public final class ReturnTime {

	/** Shortest time, in ms. Source: a round trip and a batch. */
	static final double MIN_MS = 50;

	/** Longest time, in ms. Source: the longest wave of load in the brief. */
	static final double MAX_MS = 3_000;

	/** Weight of the newest interval in the pace. */
	static final double NEWEST_WEIGHT = 0.2;

	private double unitsPerMs;

	private long lastMs = Long.MIN_VALUE;

	private double unitsSince;

	/**
	 * Notes work that was done.
	 * @param units work, in tokens or requests
	 * @param nowMs the time
	 */
	public void onDone(double units, long nowMs) {
		if (this.lastMs == Long.MIN_VALUE) {
			this.lastMs = nowMs;
		}
		this.unitsSince += units;
		long elapsedMs = nowMs - this.lastMs;
		if (elapsedMs < MIN_MS) {
			return;
		}
		double pace = this.unitsSince / elapsedMs;
		this.unitsPerMs = (this.unitsPerMs == 0) ? pace : this.unitsPerMs + NEWEST_WEIGHT * (pace - this.unitsPerMs);
		this.unitsSince = 0;
		this.lastMs = nowMs;
	}

	/**
	 * Estimates when there will be room.
	 * @param aheadUnits work that was taken before
	 * @param draw a number from 0 to 1 that spreads the callers
	 * @return milliseconds from now
	 */
	public long afterMs(double aheadUnits, double draw) {
		double waitMs = (this.unitsPerMs > 0) ? aheadUnits / this.unitsPerMs : MIN_MS;
		double bounded = Math.min(MAX_MS, Math.max(MIN_MS, waitMs));
		return (long) Math.min(MAX_MS, bounded * (1 + draw));
	}

}
