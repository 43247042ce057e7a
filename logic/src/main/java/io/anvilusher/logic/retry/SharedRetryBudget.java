package io.anvilusher.logic.retry;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * This gateway's part of a retry budget that all gateways share. Each gateway allows
 * retries in proportion to the requests that it received itself in a sliding window, so
 * that the sum stays within the shared budget however traffic is distributed. The budget
 * keeps retries from adding to the load of a failing service whose callers retry as well.
 * Confined to one thread.
 */
public final class SharedRetryBudget {

	/**
	 * Share of the configured ratio that gateways use. The rest is a margin for requests
	 * that are unevenly distributed over the windows.
	 */
	static final double USED_RATIO = 0.7;

	/**
	 * Retries allowed per window without any request: the slack of the shared budget
	 * divided by 32 gateways.
	 */
	static final int FREE_RETRIES = 1;

	private final double ratio;

	private final long windowMs;

	private final Deque<Long> requestTimes = new ArrayDeque<>();

	private final Deque<Long> retryTimes = new ArrayDeque<>();

	/**
	 * Creates a budget for one service.
	 * @param ratio retries allowed per request, over all gateways
	 * @param windowMs length of the sliding window
	 */
	public SharedRetryBudget(double ratio, long windowMs) {
		this.ratio = ratio;
		this.windowMs = windowMs;
	}

	/**
	 * Records a request from a caller, which raises the number of allowed retries.
	 * @param nowMs current time of the monotonic clock
	 */
	public void onRequest(long nowMs) {
		removeExpired(this.requestTimes, nowMs);
		this.requestTimes.addLast(nowMs);
	}

	/**
	 * Takes one retry from the budget.
	 * @param nowMs current time of the monotonic clock
	 * @return whether the retry is allowed; false if the budget of the window is used up
	 */
	public boolean tryRetry(long nowMs) {
		removeExpired(this.requestTimes, nowMs);
		removeExpired(this.retryTimes, nowMs);
		double allowed = FREE_RETRIES + USED_RATIO * this.ratio * this.requestTimes.size();
		if (this.retryTimes.size() + 1 > allowed) {
			return false;
		}
		this.retryTimes.addLast(nowMs);
		return true;
	}

	private void removeExpired(Deque<Long> times, long nowMs) {
		while (!times.isEmpty() && times.getFirst() < nowMs - this.windowMs) {
			times.removeFirst();
		}
	}

}
