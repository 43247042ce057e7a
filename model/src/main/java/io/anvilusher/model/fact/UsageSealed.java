package io.anvilusher.model.fact;

import java.util.List;
import java.util.Map;

import io.anvilusher.model.usage.UsageLine;

/**
 * The figures of a usage window are final. Reports carry exactly these figures.
 *
 * @param window number of the window, counted from 1
 * @param lease lease under which the controller acts
 * @param term term of that lease
 * @param lines the figures
 * @param flushedThrough for each entry incarnation, the newest flush contained in this or
 * an earlier window
 */
public record UsageSealed(long window, String lease, long term, List<UsageLine> lines,
		Map<String, Long> flushedThrough) implements Fact {

	public UsageSealed {
		lines = List.copyOf(lines);
		flushedThrough = Map.copyOf(flushedThrough);
	}

}
