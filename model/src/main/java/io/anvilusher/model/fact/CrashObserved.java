package io.anvilusher.model.fact;

import java.util.List;

/**
 * A backend server crashed while it was running some requests.
 *
 * @param crashId id of the crash; a crash that is recorded twice counts once
 * @param server name of the backend server
 * @param fingerprints hashes of the requests that were running
 */
public record CrashObserved(String crashId, String server, List<String> fingerprints) implements Fact {

	public CrashObserved {
		fingerprints = List.copyOf(fingerprints);
	}

}
