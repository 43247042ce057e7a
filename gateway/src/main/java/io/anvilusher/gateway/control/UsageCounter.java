package io.anvilusher.gateway.control;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;

/**
 * Counts the requests that servers have run, by usage window and workspace. Written by
 * the traffic thread, read by the control thread.
 */
public final class UsageCounter implements RunCounter {

	private final LongSupplier timeOfDayMs;

	private final long windowMs;

	private final TreeMap<Long, Map<String, Long>> counts = new TreeMap<>();

	/**
	 * Creates a counter.
	 * @param timeOfDayMs estimate of the time of day, in ms since 1970
	 * @param windowMs length of a usage window, in ms
	 */
	public UsageCounter(LongSupplier timeOfDayMs, long windowMs) {
		this.timeOfDayMs = timeOfDayMs;
		this.windowMs = windowMs;
	}

	@Override
	public void onRunStarted(String workspace) {
		synchronized (this.counts) {
			this.counts.computeIfAbsent(this.timeOfDayMs.getAsLong() / this.windowMs, (window) -> new HashMap<>())
				.merge(workspace, 1L, Long::sum);
		}
	}

	/**
	 * Returns the counts of all windows before the given one.
	 * @param window number of the first window to leave out
	 * @return a copy of the counts, by window and workspace
	 */
	Map<Long, Map<String, Long>> countsBefore(long window) {
		synchronized (this.counts) {
			Map<Long, Map<String, Long>> copy = new TreeMap<>();
			this.counts.headMap(window).forEach((number, byWorkspace) -> copy.put(number, Map.copyOf(byWorkspace)));
			return copy;
		}
	}

	/**
	 * Removes the counts of all windows before the given one.
	 * @param window number of the first window to keep
	 */
	void removeBefore(long window) {
		synchronized (this.counts) {
			this.counts.headMap(window).clear();
		}
	}

}
