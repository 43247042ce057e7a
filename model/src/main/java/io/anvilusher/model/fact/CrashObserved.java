package io.anvilusher.model.fact;

import java.util.List;

/**
 * A backend server crashed while it ran these requests.
 *
 * @param crashId id of the crash
 * @param server the backend server
 * @param fingerprints hashes of the requests that were running
 */
public record CrashObserved(String crashId, String server, List<String> fingerprints) implements Fact {

	public CrashObserved {
		fingerprints = List.copyOf(fingerprints);
	}

}
