package io.anvilusher.logic.suspect;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * A crash of a server as one gateway observed it. Other gateways may have observed the
 * same crash.
 *
 * @param crashId identifies the crash: the same for all gateways, different for each
 * incarnation of a server
 * @param service service of the server
 * @param observedAtMs time of the observation, in ms since 1970
 * @param depths the subjects (prompt parts and whole requests) that this gateway had at
 * the server without a whole response, each with its position in the prompt: fewer
 * requests share a deeper part. The depth of a whole request is {@link #REQUEST_DEPTH}.
 */
public record CrashObservation(String crashId, String service, long observedAtMs, Map<String, Integer> depths) {

	/** Depth of a whole request, below all parts of its prompt. */
	public static final int REQUEST_DEPTH = 1_000_000;

	public CrashObservation {
		depths = Map.copyOf(depths);
	}

	/**
	 * Returns the subjects without their depths.
	 * @return identifiers of parts and requests
	 */
	public Set<String> subjects() {
		return this.depths.keySet();
	}

	/**
	 * Merges the observations of one crash.
	 * @param other an observation with the same crash id
	 * @return an observation with the subjects of both and the earlier time
	 */
	public CrashObservation merge(CrashObservation other) {
		Map<String, Integer> all = new HashMap<>(this.depths);
		other.depths.forEach((subject, depth) -> all.merge(subject, depth, Math::max));
		return new CrashObservation(this.crashId, this.service, Math.min(this.observedAtMs, other.observedAtMs), all);
	}

}
