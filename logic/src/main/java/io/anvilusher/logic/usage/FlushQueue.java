package io.anvilusher.logic.usage;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.anvilusher.model.usage.UsageLine;

/**
 * An entry's counts that no sealed window contains. They are handed over again until one
 * does. Used from one thread.
 */
public final class FlushQueue {

	private final TreeMap<Long, List<UsageLine>> open = new TreeMap<>();

	private long sequence;

	/**
	 * Adds counts.
	 * @param lines the counts; none are not queued
	 */
	public void add(List<UsageLine> lines) {
		if (!lines.isEmpty()) {
			this.sequence++;
			this.open.put(this.sequence, List.copyOf(lines));
		}
	}

	/**
	 * Drops the counts that sealed windows contain.
	 * @param sequenceNumber newest flush of this entry that a sealed window contains
	 */
	public void onSealedThrough(long sequenceNumber) {
		this.open.headMap(sequenceNumber, true).clear();
	}

	/**
	 * Returns the counts to hand over.
	 * @return the flushes by number
	 */
	public Map<Long, List<UsageLine>> open() {
		return new TreeMap<>(this.open);
	}

}
