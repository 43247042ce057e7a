package io.anvilusher.logic.usage;

import java.util.Map;

/**
 * The final figures of a usage window.
 *
 * @param era era of the store in which the window was sealed; negative if the store names
 * none
 * @param window number of the window
 * @param counts number of started requests by workspace
 */
public record UsageSeal(long era, long window, Map<String, Long> counts) {

	public UsageSeal {
		counts = Map.copyOf(counts);
	}

}
