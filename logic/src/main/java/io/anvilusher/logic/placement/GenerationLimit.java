package io.anvilusher.logic.placement;

/**
 * Limits the requests that one engine may run before the next engine is used, so that the
 * pauses between the events of their streams stay within the target. Each step of an
 * engine takes longer the more requests it runs and the more prompt tokens it prefills
 * between them. How many requests it can run in time depends on the engine and on the
 * workload, so the limit follows the observed pauses like a congestion window.
 */
public final class GenerationLimit {

	/** Requests per slot up to which an engine is filled while its pauses are short. */
	static final double PACKING_SHARE = 0.75;

	/** The limit shrinks if a pause took more than this share of the target. */
	static final double SHRINK_ABOVE_SHARE = 0.65;

	/** The limit grows if a pause took less than this share of the target. */
	static final double GROW_BELOW_SHARE = 0.45;

	/** Factor by which the limit is multiplied when it shrinks. */
	static final double SHRINK_FACTOR = 0.75;

	/** Growth of the limit with each short pause, in requests. */
	static final double GROWTH_PER_PAUSE = 0.1;

	/** Lower bound of the limit: an engine always runs one request at a time. */
	static final double MIN_REQUESTS = 1;

	private double maxRequests = Double.MAX_VALUE;

	private long lastShrinkMs = Long.MIN_VALUE / 2;

	/**
	 * Adapts the limit to a pause between two events of a stream.
	 * @param pauseMs duration of the pause
	 * @param targetMs longest pause that is still on time
	 * @param requests number of requests running or queued at the engine
	 * @param slots number of requests that the engine runs at once
	 * @param nowMs current time of the monotonic clock
	 */
	public void onPause(long pauseMs, long targetMs, int requests, int slots, long nowMs) {
		double highest = PACKING_SHARE * slots;
		this.maxRequests = Math.min(this.maxRequests, highest);
		if (pauseMs < GROW_BELOW_SHARE * targetMs) {
			this.maxRequests = Math.min(highest, this.maxRequests + GROWTH_PER_PAUSE);
		}
		// Streams that are delayed by the same steps shrink the limit only once.
		else if (pauseMs > SHRINK_ABOVE_SHARE * targetMs && nowMs - this.lastShrinkMs >= targetMs) {
			this.lastShrinkMs = nowMs;
			this.maxRequests = Math.max(MIN_REQUESTS, SHRINK_FACTOR * Math.min(this.maxRequests, requests));
		}
	}

	/**
	 * Returns the number of requests that the engine may run.
	 * @param slots number of requests that the engine runs at once
	 * @return the limit, at most {@link #PACKING_SHARE} of the slots
	 */
	public double maxRequests(int slots) {
		return Math.min(this.maxRequests, PACKING_SHARE * slots);
	}

}
