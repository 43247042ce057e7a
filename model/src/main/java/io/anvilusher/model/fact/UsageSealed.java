package io.anvilusher.model.fact;

import java.util.List;
import java.util.Map;

import io.anvilusher.model.usage.UsageLine;

/**
 * The figures of a usage window are final. The report of the window carries exactly these
 * figures.
 *
 * @param window number of the window, counted from 1
 * @param lease lease under which the controller acted when it appended the fact
 * @param term term of that lease; the fact has no effect if the term is no longer current
 * @param lines the figures, one line for each workspace and service
 * @param flushedThrough number of the newest flush that this or an earlier window
 * contains, by entry incarnation
 */
public record UsageSealed(long window, String lease, long term, List<UsageLine> lines,
		Map<String, Long> flushedThrough) implements Fact {

	public UsageSealed {
		lines = List.copyOf(lines);
		flushedThrough = Map.copyOf(flushedThrough);
	}

}
