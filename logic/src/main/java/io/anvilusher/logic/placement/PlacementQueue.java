package io.anvilusher.logic.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Bounded queue of requests for which no server has spare capacity yet. A request is
 * queued only for a fraction of its target latency and is then rejected, while its caller
 * can still try elsewhere. This absorbs short bursts of arrivals; in an overload of
 * several seconds a longer queue would make every request miss its target.
 *
 * @param <T> type of the requests
 */
public final class PlacementQueue<T> {

	/**
	 * Share of the target latency that a request may be queued. The rest of the time is
	 * needed to prefill the prompt.
	 */
	static final double MAX_QUEUE_TIME_SHARE = 0.15;

	/** Maximum queue length. More requests could not be placed before they expire. */
	static final int MAX_LENGTH = 64;

	private final List<QueuedRequest<T>> queue = new ArrayList<>();

	/**
	 * Returns how long a request may be queued.
	 * @param targetMs target latency of the request
	 * @return the time in ms
	 */
	public static long maxQueueTimeMs(long targetMs) {
		return (long) (MAX_QUEUE_TIME_SHARE * targetMs);
	}

	/**
	 * Adds a request at the end of the queue.
	 * @param request the request
	 * @param targetMs target latency of the request
	 * @param nowMs current time of the monotonic clock
	 * @return whether the request is queued; false if the queue is full and the request
	 * has to be rejected
	 */
	public boolean offer(T request, long targetMs, long nowMs) {
		if (this.queue.size() >= MAX_LENGTH) {
			return false;
		}
		this.queue.add(new QueuedRequest<>(request, nowMs + maxQueueTimeMs(targetMs)));
		return true;
	}

	/**
	 * Tries to place each queued request, oldest first. A request that finds no server
	 * does not hold up those behind it: the homes of their prompts may have capacity. A
	 * request is not queued while it is being placed, and is queued again only if that
	 * returns that it found no server. If placing it throws an exception, it is unknown
	 * whether it was sent, so it must not be placed again.
	 * @param place tries to place a request and returns whether it did
	 */
	public void placeQueued(Predicate<T> place) {
		for (QueuedRequest<T> queued : List.copyOf(this.queue)) {
			int index = this.queue.indexOf(queued);
			if (index >= 0) {
				this.queue.remove(index);
				if (!place.test(queued.request())) {
					this.queue.add(Math.min(index, this.queue.size()), queued);
				}
			}
		}
	}

	/**
	 * Removes the requests whose queue time is over.
	 * @param nowMs current time of the monotonic clock
	 * @param reject called with each removed request, oldest first
	 */
	public void expire(long nowMs, Consumer<T> reject) {
		Iterator<QueuedRequest<T>> queuedRequests = this.queue.iterator();
		Deque<T> expired = new ArrayDeque<>();
		while (queuedRequests.hasNext()) {
			QueuedRequest<T> queued = queuedRequests.next();
			if (nowMs >= queued.expiresAtMs()) {
				queuedRequests.remove();
				expired.addLast(queued.request());
			}
		}
		expired.forEach(reject);
	}

	/**
	 * Removes a request from the queue.
	 * @param request the request
	 * @return whether it was queued
	 */
	public boolean remove(T request) {
		return this.queue.removeIf((queued) -> queued.request().equals(request));
	}

	/**
	 * Returns the queue length.
	 * @return number of queued requests
	 */
	public int size() {
		return this.queue.size();
	}

	private record QueuedRequest<T>(T request, long expiresAtMs) {

	}

}
