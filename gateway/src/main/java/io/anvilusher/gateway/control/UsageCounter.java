package io.anvilusher.gateway.control;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;

/**
 * Counts begun requests by window and workspace. Written by the traffic thread, read by
 * the control thread.
 */
public final class UsageCounter implements RunCounter {

	private final LongSupplier trueTimeMs;

	private final long windowMs;

	private final TreeMap<Long, Map<String, Long>> counts = new TreeMap<>();

	/**
	 * Creates a counter.
	 * @param trueTimeMs estimate of the time, in ms since 1970
	 * @param windowMs length of a window, in ms
	 */
	public UsageCounter(LongSupplier trueTimeMs, long windowMs) {
		this.trueTimeMs = trueTimeMs;
		this.windowMs = windowMs;
	}

	@Override
	public void onBegun(String workspace) {
		synchronized (this.counts) {
			this.counts.computeIfAbsent(this.trueTimeMs.getAsLong() / this.windowMs, (window) -> new HashMap<>())
				.merge(workspace, 1L, Long::sum);
		}
	}

	/**
	 * Returns the counts of the windows before one.
	 * @param window the window
	 * @return counts by window and workspace
	 */
	Map<Long, Map<String, Long>> before(long window) {
		synchronized (this.counts) {
			Map<Long, Map<String, Long>> copy = new TreeMap<>();
			this.counts.headMap(window).forEach((number, byWorkspace) -> copy.put(number, Map.copyOf(byWorkspace)));
			return copy;
		}
	}

	/**
	 * Forgets a window once its counts are in the log.
	 * @param window the window
	 */
	void forget(long window) {
		synchronized (this.counts) {
			this.counts.remove(window);
		}
	}

}
