package io.anvilusher.logic.retry;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * This gateway's part of a budget of repeats that all gateways share. Each takes its part
 * by the requests that it got itself, so that the sum stays within the whole however
 * traffic is spread. Load pattern: a failing service under callers that repeat on their
 * own as well. Used from one thread.
 */
public final class SharedRetryBudget {

	/** Part of the shared ratio that is used; the rest covers uneven windows. */
	static final double USED_RATIO = 0.7;

	/** Repeats allowed without requests. Source: the slack divided by 32 gateways. */
	static final int FREE_REPEATS = 1;

	private final double ratio;

	private final long windowMs;

	private final Deque<Long> requestTimes = new ArrayDeque<>();

	private final Deque<Long> repeatTimes = new ArrayDeque<>();

	/**
	 * Creates a budget.
	 * @param ratio repeats allowed for each request, over all gateways
	 * @param windowMs length of the sliding window
	 */
	public SharedRetryBudget(double ratio, long windowMs) {
		this.ratio = ratio;
		this.windowMs = windowMs;
	}

	/**
	 * Notes a request of a caller.
	 * @param nowMs the time
	 */
	public void onRequest(long nowMs) {
		forget(this.requestTimes, nowMs);
		this.requestTimes.addLast(nowMs);
	}

	/**
	 * Takes a repeat from the budget.
	 * @param nowMs the time
	 * @return whether there was one left
	 */
	public boolean tryRepeat(long nowMs) {
		forget(this.requestTimes, nowMs);
		forget(this.repeatTimes, nowMs);
		double allowed = FREE_REPEATS + USED_RATIO * this.ratio * this.requestTimes.size();
		if (this.repeatTimes.size() + 1 > allowed) {
			return false;
		}
		this.repeatTimes.addLast(nowMs);
		return true;
	}

	private void forget(Deque<Long> times, long nowMs) {
		while (!times.isEmpty() && times.getFirst() < nowMs - this.windowMs) {
			times.removeFirst();
		}
	}

}
