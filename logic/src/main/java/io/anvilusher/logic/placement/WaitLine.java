package io.anvilusher.logic.placement;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Requests that wait for a place, for a short time only: a request that finds no place
 * within a part of its objective is turned away while its caller can still go elsewhere.
 * Load pattern: clumps of arrivals that are over within a fraction of the objective, and
 * overload that lasts for seconds, in which waiting would make every request late.
 *
 * @param <T> type of the requests
 */
public final class WaitLine<T> {

	/** Part of the objective that a request may wait. Source: the rest reads a prompt. */
	static final double MAX_WAIT_SHARE = 0.15;

	/** Most requests that wait. Source: more could not be placed within their wait. */
	static final int MAX_LENGTH = 64;

	private final Deque<Waiting<T>> line = new ArrayDeque<>();

	/**
	 * Adds a request.
	 * @param request the request
	 * @param targetMs its objective
	 * @param nowMs the time
	 * @return whether it may wait; otherwise it has to be turned away
	 */
	public boolean offer(T request, long targetMs, long nowMs) {
		if (this.line.size() >= MAX_LENGTH) {
			return false;
		}
		this.line.addLast(new Waiting<>(request, nowMs + (long) (MAX_WAIT_SHARE * targetMs)));
		return true;
	}

	/**
	 * Offers a place to those that wait, oldest first, until one does not find a place.
	 * @param place tries to place a request and tells whether it did
	 */
	public void drain(Predicate<T> place) {
		while (!this.line.isEmpty() && place.test(this.line.getFirst().request())) {
			this.line.removeFirst();
		}
	}

	/**
	 * Takes out the requests that have waited too long.
	 * @param nowMs the time
	 * @param turnAway receives each of them
	 */
	public void expire(long nowMs, Consumer<T> turnAway) {
		Iterator<Waiting<T>> waiting = this.line.iterator();
		Deque<T> expired = new ArrayDeque<>();
		while (waiting.hasNext()) {
			Waiting<T> next = waiting.next();
			if (nowMs >= next.untilMs()) {
				waiting.remove();
				expired.addLast(next.request());
			}
		}
		expired.forEach(turnAway);
	}

	/**
	 * Takes a request out.
	 * @param request the request
	 * @return whether it was waiting
	 */
	public boolean remove(T request) {
		return this.line.removeIf((waiting) -> waiting.request().equals(request));
	}

	/**
	 * Returns the number of waiting requests.
	 * @return the number
	 */
	public int size() {
		return this.line.size();
	}

	private record Waiting<T>(T request, long untilMs) {

	}

}
