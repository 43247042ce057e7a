package io.anvilusher.entry.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.anvilusher.model.usage.UsageLine;

/**
 * Counts the usage of each workspace and service until the counts are fetched.
 */
public final class UsageMeter {

	private Map<String, UsageLine> lines = new HashMap<>();

	/**
	 * Adds usage to the counts of its workspace and service.
	 * @param line the usage to add
	 */
	public synchronized void add(UsageLine line) {
		this.lines.merge(line.workspace() + "/" + line.service(), line, UsageLine::plus);
	}

	/**
	 * Returns the counts since the last call and resets them.
	 * @return one line for each workspace and service; empty if there was no usage
	 */
	public synchronized List<UsageLine> fetchAndReset() {
		List<UsageLine> counts = new ArrayList<>(this.lines.values());
		this.lines = new HashMap<>();
		return counts;
	}

}
