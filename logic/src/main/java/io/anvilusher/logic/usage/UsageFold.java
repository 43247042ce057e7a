package io.anvilusher.logic.usage;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongSupplier;

/**
 * Usage counts by window, folded from the records of a log, each with the counts of one
 * process so far. The log may lack its beginning. Not safe for use by several threads.
 */
public final class UsageFold {

	/**
	 * Number of windows kept: those nearest to the present one, since a record may name
	 * any window. Several times the number of windows that can still be reported.
	 */
	private static final int MAX_WINDOWS = 64;

	private final TreeMap<Long, Map<String, Map<String, Long>>> countsByWindow = new TreeMap<>();

	private final TreeMap<Long, Map<String, Long>> sealedByWindow = new TreeMap<>();

	private final LongSupplier presentWindow;

	/** Last window of which counts may not have been read. */
	private long gapWindow = Long.MIN_VALUE;

	private boolean inGap;

	/**
	 * Creates an empty fold.
	 * @param presentWindow returns the number of the present window
	 */
	public UsageFold(LongSupplier presentWindow) {
		this.presentWindow = presentWindow;
	}

	/**
	 * Applies a record with the counts of one process. They only grow, so the highest
	 * ones are valid, however often and in whichever order records were appended.
	 * @param process identity of the process, which is new after each start
	 * @param window number of the window
	 * @param counts number of started requests by workspace
	 */
	public void onCounts(String process, long window, Map<String, Long> counts) {
		Map<String, Long> highest = this.countsByWindow.computeIfAbsent(window, (number) -> new HashMap<>())
			.computeIfAbsent(process, (id) -> new HashMap<>());
		counts.forEach((workspace, count) -> highest.merge(workspace, count, Math::max));
		if (this.inGap) {
			this.inGap = false;
			this.gapWindow = Math.min(this.gapWindow, window + 1);
		}
		trim(this.countsByWindow);
	}

	/**
	 * Records that records of the log are gone and were not read. Processes write their
	 * counts soon after the end of a window, so what is gone concerns the windows up to
	 * that of the next record, or the one after it.
	 */
	public void onGap() {
		this.gapWindow = this.presentWindow.getAsLong();
		this.inGap = true;
	}

	/**
	 * Applies a seal, which fixes the figures of a window. The first one is valid.
	 * @param window number of the window
	 * @param counts the figures to report
	 * @return whether it is the first seal of the window
	 */
	public boolean onSeal(long window, Map<String, Long> counts) {
		boolean first = this.sealedByWindow.putIfAbsent(window, Map.copyOf(counts)) == null;
		trim(this.sealedByWindow);
		return first;
	}

	private void trim(TreeMap<Long, ?> windows) {
		// As floating-point numbers, so that the distance of no window overflows.
		double present = this.presentWindow.getAsLong();
		while (windows.size() > MAX_WINDOWS) {
			if (present - windows.firstKey() >= windows.lastKey() - present) {
				windows.pollFirstEntry();
			}
			else {
				windows.pollLastEntry();
			}
		}
	}

	/**
	 * Returns the sum of the counts of a window over all processes.
	 * @param window number of the window
	 * @return number of started requests by workspace
	 */
	public Map<String, Long> total(long window) {
		Map<String, Long> total = new TreeMap<>();
		this.countsByWindow.getOrDefault(window, Map.of())
			.values()
			.forEach((counts) -> counts.forEach((workspace, count) -> total.merge(workspace, count, Long::sum)));
		return total;
	}

	/**
	 * Returns whether a window has counts from all processes that had counts in the
	 * previous window, and the previous window is sealed or complete itself. Otherwise, a
	 * process may exist whose counts of both windows have not arrived. A process that
	 * counts for the first time in this window may still be missing.
	 * @param window number of the window
	 * @return whether counts of all these processes have arrived
	 */
	public boolean isComplete(long window) {
		Set<String> expected = processes(window - 1);
		return window > this.gapWindow
				&& (expected.isEmpty() || (processes(window).containsAll(expected) && isSettled(window - 1)));
	}

	private boolean isSettled(long window) {
		return this.sealedByWindow.containsKey(window) || window <= this.gapWindow || isComplete(window);
	}

	private Set<String> processes(long window) {
		return this.countsByWindow.getOrDefault(window, Map.of()).keySet();
	}

	/**
	 * Returns the final figures of a sealed window.
	 * @param window number of the window
	 * @return the figures, or empty if the window is not sealed
	 */
	public Optional<Map<String, Long>> sealed(long window) {
		return Optional.ofNullable(this.sealedByWindow.get(window));
	}

}
