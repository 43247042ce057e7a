package io.anvilusher.entry.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.anvilusher.model.usage.UsageLine;

/**
 * Counts work done for workspaces until the counts are taken.
 */
public final class UsageMeter {

	private Map<String, UsageLine> lines = new HashMap<>();

	/**
	 * Adds work.
	 * @param line the work
	 */
	public synchronized void add(UsageLine line) {
		this.lines.merge(line.workspace() + "/" + line.service(), line, UsageLine::plus);
	}

	/**
	 * Takes the counts since the last call.
	 * @return the counts, one line for each workspace and service
	 */
	public synchronized List<UsageLine> take() {
		List<UsageLine> taken = new ArrayList<>(this.lines.values());
		this.lines = new HashMap<>();
		return taken;
	}

}
