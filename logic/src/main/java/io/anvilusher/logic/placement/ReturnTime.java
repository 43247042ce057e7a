package io.anvilusher.logic.placement;

/**
 * When a caller that was turned away should come back: after the work that is ahead has
 * been done at the pace seen lately, and not before the overload has lasted as long again
 * as it has so far, since nothing else is known of its length; spread over some more time
 * so that callers do not return together. Load pattern: overload of some seconds with
 * callers that come back once.
 */
public final class ReturnTime {

	/** Shortest time, in ms. Source: a round trip and a batch. */
	static final double MIN_MS = 50;

	/** Longest time, in ms. Source: the longest wave of load in the brief. */
	static final double MAX_MS = 3_000;

	/** Weight of the newest interval in the pace. */
	static final double NEWEST_WEIGHT = 0.2;

	/**
	 * Pause between two rejections that ends an overload, in ms. Source: a few batches.
	 */
	static final long CALM_MS = 400;

	/** Part of the time by which callers are spread. */
	static final double SPREAD_SHARE = 0.5;

	private long overloadSinceMs;

	private long lastTurnedAwayMs = Long.MIN_VALUE / 2;

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
	 * Estimates when there will be room, for a caller that is turned away now.
	 * @param aheadUnits work that was taken before
	 * @param draw a number from 0 to 1 that spreads the callers
	 * @param nowMs the time
	 * @return milliseconds from now
	 */
	public long afterMs(double aheadUnits, double draw, long nowMs) {
		if (nowMs - this.lastTurnedAwayMs > CALM_MS) {
			this.overloadSinceMs = nowMs;
		}
		this.lastTurnedAwayMs = nowMs;
		double workMs = (this.unitsPerMs > 0) ? aheadUnits / this.unitsPerMs : MIN_MS;
		double waitMs = Math.max(workMs, nowMs - this.overloadSinceMs);
		double bounded = Math.min(MAX_MS, Math.max(MIN_MS, waitMs));
		return (long) Math.min(MAX_MS, bounded * (1 + SPREAD_SHARE * draw));
	}

}
