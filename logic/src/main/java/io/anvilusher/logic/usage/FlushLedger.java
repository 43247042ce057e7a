package io.anvilusher.logic.usage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.anvilusher.logic.fold.UsageState;
import io.anvilusher.model.usage.UsageLine;

/**
 * Collects the usage counts that entries send to the lease holder and assigns each of
 * them to exactly one usage window. A flush is a numbered batch of counts from one entry.
 * It is counted once, even if it is received several times, and only after all earlier
 * flushes of the same entry. Not safe for use by several threads.
 */
public final class FlushLedger {

	private final Map<String, TreeMap<Long, List<UsageLine>>> flushes = new HashMap<>();

	/**
	 * Adds a received flush.
	 * @param entryIncarnation incarnation of the entry that sent it
	 * @param sequence number of the flush, counted from 1 for each incarnation
	 * @param lines the counts of the flush
	 */
	public void add(String entryIncarnation, long sequence, List<UsageLine> lines) {
		this.flushes.computeIfAbsent(entryIncarnation, (id) -> new TreeMap<>()).put(sequence, List.copyOf(lines));
	}

	/**
	 * Returns the contents of the next window: all flushes that no sealed window
	 * contains, up to the first gap in the numbers of each entry. Forgets the flushes
	 * that a sealed window contains.
	 * @param sealed the usage state with the windows sealed so far
	 * @return the window, which may have no counts
	 */
	public Window next(UsageState sealed) {
		Map<String, UsageLine> lines = new TreeMap<>();
		Map<String, Long> flushedThrough = new HashMap<>();
		this.flushes.forEach((entry, bySequence) -> {
			bySequence.headMap(sealed.flushedThrough(entry), true).clear();
			long nextSequence = sealed.flushedThrough(entry) + 1;
			for (Map.Entry<Long, List<UsageLine>> flush : bySequence.entrySet()) {
				if (flush.getKey() != nextSequence) {
					break;
				}
				flush.getValue()
					.forEach((line) -> lines.merge(line.workspace() + "/" + line.service(), line, UsageLine::plus));
				flushedThrough.put(entry, nextSequence);
				nextSequence++;
			}
		});
		this.flushes.values().removeIf(TreeMap::isEmpty);
		return new Window(new ArrayList<>(lines.values()), flushedThrough);
	}

	/**
	 * The contents of a window that is not sealed yet.
	 *
	 * @param lines the counts, one line for each workspace and service
	 * @param flushedThrough number of the newest flush that the window contains, by entry
	 * incarnation
	 */
	public record Window(List<UsageLine> lines, Map<String, Long> flushedThrough) {

		public Window {
			lines = List.copyOf(lines);
			flushedThrough = Map.copyOf(flushedThrough);
		}

	}

}
