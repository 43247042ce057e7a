package io.anvilusher.model.suspect;

import java.util.Set;

/**
 * A request that was running when backend servers crashed.
 *
 * @param fingerprint hash of the request
 * @param crashIds the crashes
 * @param firstOffset offset of the first of them
 */
public record SuspectRequest(String fingerprint, Set<String> crashIds, long firstOffset) {

	public SuspectRequest {
		crashIds = Set.copyOf(crashIds);
	}

}
