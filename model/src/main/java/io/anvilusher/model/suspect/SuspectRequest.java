package io.anvilusher.model.suspect;

import java.util.Set;

/**
 * A request that was running when backend servers crashed.
 *
 * @param fingerprint hash of the request
 * @param crashIds ids of these crashes
 * @param firstOffset offset of the record of the first crash
 */
public record SuspectRequest(String fingerprint, Set<String> crashIds, long firstOffset) {

	public SuspectRequest {
		crashIds = Set.copyOf(crashIds);
	}

}
