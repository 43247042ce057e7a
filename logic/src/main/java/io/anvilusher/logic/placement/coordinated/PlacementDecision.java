package io.anvilusher.logic.placement.coordinated;

import java.util.Optional;

/**
 * What a coordinator decides about a request.
 */
public sealed interface PlacementDecision {

	/**
	 * The request is to be sent now.
	 *
	 * @param engineId engine that prefills the prompt
	 * @param decodeEngineId engine that fetches the KV cache and decodes; empty if the
	 * first one does both
	 * @param uncachedTokens prompt tokens that are expected not to be cached
	 * @param late whether the first event can no longer be on time, so that requests that
	 * can be are to go first at the engine
	 * @param expectedMs expected time from now until the first event, in ms
	 */
	record Assigned(String engineId, Optional<String> decodeEngineId, int uncachedTokens, boolean late,
			long expectedMs) implements PlacementDecision {

	}

	/** The request waits until an engine is about to become free. */
	record Queued() implements PlacementDecision {

	}

	/**
	 * The request cannot be served in time for its deadline.
	 *
	 * @param retryAfterMs time after which the client should try again, in ms
	 */
	record Refused(long retryAfterMs) implements PlacementDecision {

	}

	/** The group has no engine that the request could be sent to. */
	record NoEngine() implements PlacementDecision {

	}

}
