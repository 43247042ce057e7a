package io.anvilusher.logic.placement.coordinated;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.ToDoubleFunction;

/**
 * The requests that wait for one engine, in the order of what their delay costs clients.
 * It is designed for load peaks of several seconds in which the engines cannot prefill
 * all prompts within their targets.
 * <p>
 * Requests that can still be on time go first. Among them, the order is that of the
 * targets, where each step of priority counts like {@link #PRIORITY_STEP_MS} of waiting;
 * since the order depends on time, no priority class and no size starves. Requests that
 * can only be late go when no other waits, those with the least work first, which serves
 * most of them before their deadlines. Confined to one thread.
 */
final class EngineQueue {

	/**
	 * Time of waiting that makes up for one step of priority: half of the shortest
	 * targets of the expected workloads.
	 */
	static final double PRIORITY_STEP_MS = 60;

	/**
	 * Work of late requests that may wait for one engine. More could not be served before
	 * their deadlines while a load peak lasts.
	 */
	static final double MAX_LATE_WORK_MS = 150;

	/**
	 * Share of the time until its deadline that a late request may wait. A client that is
	 * refused earlier still has time to come back when the peak is over.
	 */
	static final double MAX_LATE_WAIT_SHARE = 0.35;

	private final List<QueuedRequest> onTime = new ArrayList<>();

	private final List<QueuedRequest> late = new ArrayList<>();

	private boolean evictNewest;

	/**
	 * Adds a request.
	 * @param queued the request
	 * @param canBeOnTime whether it is expected to be on time behind those that wait
	 */
	void add(QueuedRequest queued, boolean canBeOnTime) {
		(canBeOnTime ? this.onTime : this.late).add(queued);
	}

	/**
	 * Removes and returns the request that goes next.
	 * @param workMs estimates the work of a request, in ms
	 * @param nowMs current time of the monotonic clock
	 * @return the request, or empty if none waits
	 */
	Optional<QueuedRequest> poll(ToDoubleFunction<QueuedRequest> workMs, long nowMs) {
		moveLate(workMs, nowMs);
		Optional<QueuedRequest> next = this.onTime.stream().min(Comparator.comparingDouble(QueuedRequest::orderMs));
		next.ifPresent(this.onTime::remove);
		if (next.isPresent()) {
			return next;
		}
		Optional<QueuedRequest> nextLate = this.late.stream().min(Comparator.comparingDouble(workMs));
		nextLate.ifPresent(this.late::remove);
		return nextLate;
	}

	private void moveLate(ToDoubleFunction<QueuedRequest> workMs, long nowMs) {
		this.onTime.removeIf((queued) -> {
			boolean missed = !queued.isOnTime(workMs.applyAsDouble(queued), nowMs);
			if (missed) {
				this.late.add(queued);
			}
			return missed;
		});
	}

	/**
	 * Removes the requests that can no longer be served: those whose deadline is too
	 * near, and those that exceed the work that may wait. Of the latter, the least urgent
	 * go first; among these, by turns the one with the most work and the newest, so that
	 * neither large nor new requests bear all refusals.
	 * @param workMs estimates the work of a request, in ms
	 * @param nowMs current time of the monotonic clock
	 * @return the removed requests
	 */
	List<QueuedRequest> removeUnservable(ToDoubleFunction<QueuedRequest> workMs, long nowMs) {
		moveLate(workMs, nowMs);
		List<QueuedRequest> removed = new ArrayList<>();
		this.late.removeIf((queued) -> {
			boolean unservable = !queued.meetsDeadline(workMs.applyAsDouble(queued), nowMs)
					|| queued.hasWaitedTooLong(nowMs);
			if (unservable) {
				removed.add(queued);
			}
			return unservable;
		});
		double lateWorkMs = this.late.stream().mapToDouble(workMs).sum();
		while (lateWorkMs > MAX_LATE_WORK_MS && this.late.size() > 1) {
			QueuedRequest evicted = this.late.stream()
				.max(Comparator.comparingInt((QueuedRequest queued) -> queued.request().priority())
					.thenComparingDouble(
							(queued) -> this.evictNewest ? queued.queuedAtMs() : workMs.applyAsDouble(queued)))
				.orElseThrow();
			this.evictNewest = !this.evictNewest;
			this.late.remove(evicted);
			lateWorkMs -= workMs.applyAsDouble(evicted);
			removed.add(evicted);
		}
		return removed;
	}

	boolean remove(RequestKey key) {
		return this.onTime.removeIf((queued) -> queued.request().key().equals(key))
				| this.late.removeIf((queued) -> queued.request().key().equals(key));
	}

	List<QueuedRequest> removeAll() {
		List<QueuedRequest> all = new ArrayList<>(this.onTime);
		all.addAll(this.late);
		this.onTime.clear();
		this.late.clear();
		return all;
	}

	/**
	 * Returns the work of the queued requests that go before a new one.
	 * @param workMs estimates the work of a request, in ms
	 * @param onTimeOnly whether to leave out requests that can only be late
	 * @return milliseconds
	 */
	double workMs(ToDoubleFunction<QueuedRequest> workMs, boolean onTimeOnly) {
		double onTimeMs = this.onTime.stream().mapToDouble(workMs).sum();
		return onTimeOnly ? onTimeMs : onTimeMs + this.late.stream().mapToDouble(workMs).sum();
	}

	/**
	 * Returns the work of the queued requests that can only be late.
	 * @param workMs estimates the work of a request, in ms
	 * @return milliseconds
	 */
	double lateWorkMs(ToDoubleFunction<QueuedRequest> workMs) {
		return this.late.stream().mapToDouble(workMs).sum();
	}

	int size() {
		return this.onTime.size() + this.late.size();
	}

	/**
	 * A request in the queue.
	 *
	 * @param request the request
	 * @param queuedAtMs time at which it was queued, by the monotonic clock
	 * @param uncachedTokens prompt tokens that the engine is expected to prefill
	 */
	record QueuedRequest(PlacementRequest request, long queuedAtMs, int uncachedTokens) {

		/**
		 * Time between the end of the prefill and the arrival of the first event at the
		 * client, beside the work itself: the way of the reply, the request and the
		 * event.
		 */
		static final double DELIVERY_MS = 30;

		boolean isOnTime(double workMs, long nowMs) {
			return nowMs + workMs + DELIVERY_MS <= this.request.targetAtMs();
		}

		boolean meetsDeadline(double workMs, long nowMs) {
			return nowMs + workMs + DELIVERY_MS <= this.request.deadlineAtMs();
		}

		boolean hasWaitedTooLong(long nowMs) {
			return nowMs - this.queuedAtMs > MAX_LATE_WAIT_SHARE * (this.request.deadlineAtMs() - this.queuedAtMs);
		}

		double orderMs() {
			return this.request.targetAtMs() + PRIORITY_STEP_MS * this.request.priority();
		}

	}

}
