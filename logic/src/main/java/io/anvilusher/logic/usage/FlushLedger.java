package io.anvilusher.logic.usage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.anvilusher.logic.fold.UsageState;
import io.anvilusher.model.usage.UsageLine;

/**
 * Collects the counts that entries hand to the lease holder and puts each into exactly
 * one usage window. A flush counts once, however often it is handed over, and only after
 * all earlier flushes of the same entry. Used from one thread.
 */
public final class FlushLedger {

	private final Map<String, TreeMap<Long, List<UsageLine>>> flushes = new HashMap<>();

	/**
	 * Takes in a flush.
	 * @param entryIncarnation incarnation of the entry
	 * @param sequence number of the flush, counted from 1
	 * @param lines the counts
	 */
	public void add(String entryIncarnation, long sequence, List<UsageLine> lines) {
		this.flushes.computeIfAbsent(entryIncarnation, (id) -> new TreeMap<>()).put(sequence, List.copyOf(lines));
	}

	/**
	 * Puts together the next window from the flushes that no sealed window contains.
	 * @param sealed the windows sealed so far
	 * @return the window, which may be empty
	 */
	public Window next(UsageState sealed) {
		Map<String, UsageLine> lines = new TreeMap<>();
		Map<String, Long> through = new HashMap<>();
		this.flushes.forEach((entry, bySequence) -> {
			bySequence.headMap(sealed.flushedThrough(entry), true).clear();
			long expected = sealed.flushedThrough(entry) + 1;
			for (Map.Entry<Long, List<UsageLine>> flush : bySequence.entrySet()) {
				if (flush.getKey() != expected) {
					break;
				}
				flush.getValue()
					.forEach((line) -> lines.merge(line.workspace() + "/" + line.service(), line, UsageLine::plus));
				through.put(entry, expected);
				expected++;
			}
		});
		this.flushes.values().removeIf(TreeMap::isEmpty);
		return new Window(new ArrayList<>(lines.values()), through);
	}

	/**
	 * The contents of a window.
	 *
	 * @param lines the counts, one line for each workspace and service
	 * @param flushedThrough newest flush of each entry that the window contains
	 */
	public record Window(List<UsageLine> lines, Map<String, Long> flushedThrough) {

		public Window {
			lines = List.copyOf(lines);
			flushedThrough = Map.copyOf(flushedThrough);
		}

	}

}
