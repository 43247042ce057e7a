package io.anvilusher.model.usage;

import java.util.List;

/**
 * A sealed usage window, whose figures are final.
 *
 * @param window number of the window
 * @param lease lease under which the window was sealed
 * @param term term of that lease
 * @param lines the figures, one line for each workspace and service
 */
public record SealedWindow(long window, String lease, long term, List<UsageLine> lines) {

	public SealedWindow {
		lines = List.copyOf(lines);
	}

}
