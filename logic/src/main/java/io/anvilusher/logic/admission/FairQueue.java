package io.anvilusher.logic.admission;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Priority queue that serves urgent items first and, within each class, the workspaces in
 * proportion to their weights (start-time fair queueing). A workspace with many items
 * does not delay the others. Not thread-safe: callers use it from one thread or under a
 * lock.
 *
 * @param <T> type of the items
 */
public final class FairQueue<T> {

	private final Map<String, Flow<T>> flows = new HashMap<>();

	private double virtualTime;

	private long arrivals;

	private int size;

	/**
	 * Adds an item to the queue.
	 * @param share workspace, weight and class of the item
	 * @param cost amount of work of the item, in the same unit for all items
	 * @param item the item
	 */
	public void offer(WorkspaceShare share, double cost, T item) {
		Flow<T> flow = this.flows.computeIfAbsent(key(share), (key) -> new Flow<>(share.urgent()));
		double start = Math.max(this.virtualTime, flow.lastFinish);
		flow.lastFinish = start + cost / share.weight();
		flow.items.addLast(new QueuedItem<>(start, this.arrivals++, item));
		this.size++;
	}

	/**
	 * Returns the item to serve next without removing it.
	 * @return the item, or empty if the queue is empty
	 */
	public Optional<T> peek() {
		return next().map((flow) -> flow.items.getFirst().item());
	}

	/**
	 * Removes and returns the item to serve next.
	 * @return the item, or empty if the queue is empty
	 */
	public Optional<T> poll() {
		return next().map((flow) -> {
			QueuedItem<T> queued = flow.items.removeFirst();
			this.virtualTime = Math.max(this.virtualTime, queued.start());
			this.size--;
			return queued.item();
		});
	}

	/**
	 * Removes all items that meet a condition.
	 * @param condition the condition
	 */
	public void removeIf(Predicate<T> condition) {
		this.flows.values().forEach((flow) -> flow.items.removeIf((queued) -> condition.test(queued.item())));
		this.flows.values().removeIf((flow) -> flow.items.isEmpty() && flow.lastFinish <= this.virtualTime);
		this.size = this.flows.values().stream().mapToInt((flow) -> flow.items.size()).sum();
	}

	/**
	 * Returns the number of items in the queue.
	 * @return the number of items of all workspaces
	 */
	public int size() {
		return this.size;
	}

	private Optional<Flow<T>> next() {
		return this.flows.values()
			.stream()
			.filter((flow) -> !flow.items.isEmpty())
			.min(Comparator.<Flow<T>, Boolean>comparing((flow) -> !flow.urgent)
				.thenComparingDouble((flow) -> flow.items.getFirst().start())
				.thenComparingLong((flow) -> flow.items.getFirst().arrival()));
	}

	private static String key(WorkspaceShare share) {
		return share.workspace() + (share.urgent() ? "!" : "");
	}

	private static final class Flow<T> {

		private final boolean urgent;

		private final Deque<QueuedItem<T>> items = new ArrayDeque<>();

		private double lastFinish;

		Flow(boolean urgent) {
			this.urgent = urgent;
		}

	}

	private record QueuedItem<T>(double start, long arrival, T item) {

	}

}
