package io.anvilusher.logic.usage;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.anvilusher.model.usage.UsageLine;

/**
 * Holds the usage counts of this entry that no sealed window contains yet. They are sent
 * to the lease holder repeatedly until a sealed window contains them. Not safe for use by
 * several threads.
 */
public final class FlushQueue {

	private final TreeMap<Long, List<UsageLine>> unsealed = new TreeMap<>();

	private long sequence;

	/**
	 * Queues counts as the next flush.
	 * @param lines the counts; an empty list is ignored
	 */
	public void add(List<UsageLine> lines) {
		if (!lines.isEmpty()) {
			this.sequence++;
			this.unsealed.put(this.sequence, List.copyOf(lines));
		}
	}

	/**
	 * Removes the flushes that sealed windows contain.
	 * @param sequenceNumber number of the newest flush of this entry that a sealed window
	 * contains
	 */
	public void onSealedThrough(long sequenceNumber) {
		this.unsealed.headMap(sequenceNumber, true).clear();
	}

	/**
	 * Returns the flushes that no sealed window contains yet.
	 * @return a copy of the flushes, by number
	 */
	public Map<Long, List<UsageLine>> open() {
		return new TreeMap<>(this.unsealed);
	}

}
