package io.anvilusher.logic.usage;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Usage by window, folded from the records of a log: counts of processes, and seals that
 * fix a window's figures. The first seal of a window is the valid one, so that whoever
 * reports a window reports the same figures. Used from one thread.
 */
public final class UsageFold {

	/** Windows kept. Source: several times the windows that can still be reported. */
	private static final int MAX_WINDOWS = 64;

	private final TreeMap<Long, Map<String, Map<String, Long>>> countsByWindow = new TreeMap<>();

	private final TreeMap<Long, Map<String, Long>> sealedByWindow = new TreeMap<>();

	/**
	 * Notes the counts of one process. They replace those that it gave before for the
	 * window, so that a record that was written twice counts once.
	 * @param process identity of the process since its start
	 * @param window number of the window
	 * @param counts begun requests by workspace
	 */
	public void onCounts(String process, long window, Map<String, Long> counts) {
		this.countsByWindow.computeIfAbsent(window, (number) -> new HashMap<>()).put(process, Map.copyOf(counts));
		trim(this.countsByWindow);
	}

	/**
	 * Notes a seal.
	 * @param window number of the window
	 * @param counts the figures to report
	 * @return whether it is the first seal of the window
	 */
	public boolean onSeal(long window, Map<String, Long> counts) {
		boolean first = this.sealedByWindow.putIfAbsent(window, Map.copyOf(counts)) == null;
		trim(this.sealedByWindow);
		return first;
	}

	private static void trim(TreeMap<Long, ?> windows) {
		while (windows.size() > MAX_WINDOWS) {
			windows.pollFirstEntry();
		}
	}

	/**
	 * Adds up the counts of a window.
	 * @param window number of the window
	 * @return begun requests by workspace
	 */
	public Map<String, Long> total(long window) {
		Map<String, Long> total = new TreeMap<>();
		this.countsByWindow.getOrDefault(window, Map.of())
			.values()
			.forEach((counts) -> counts.forEach((workspace, count) -> total.merge(workspace, count, Long::sum)));
		return total;
	}

	/**
	 * Tells whether all processes that counted in the window before have counted in a
	 * window.
	 * @param window number of the window
	 * @return whether they have
	 */
	public boolean isComplete(long window) {
		return this.countsByWindow.getOrDefault(window, Map.of())
			.keySet()
			.containsAll(this.countsByWindow.getOrDefault(window - 1, Map.of()).keySet());
	}

	/**
	 * Returns the figures that a seal has fixed.
	 * @param window number of the window
	 * @return the figures, or empty if the window is not sealed
	 */
	public Optional<Map<String, Long>> sealed(long window) {
		return Optional.ofNullable(this.sealedByWindow.get(window));
	}

}
