package io.anvilusher.logic.placement.coordinated;

import java.util.Set;

import io.anvilusher.logic.placement.EnginePlacer;
import io.anvilusher.model.request.PromptShape;

/**
 * A request that asks for an engine.
 *
 * @param key identifies the request
 * @param prompt size and parts of the prompt
 * @param targetAtMs time by which the first event is on time, by the coordinator's
 * monotonic clock
 * @param deadlineAtMs time at which the client stops waiting, by the same clock
 * @param priority priority class; 0 is the most urgent
 * @param splitExtraMs time that the gateway needs in addition if it sends the request to
 * two engines, in ms
 * @param excludedEngines ids of engines that earlier attempts were sent to
 */
public record PlacementRequest(RequestKey key, PromptShape prompt, long targetAtMs, long deadlineAtMs, int priority,
		long splitExtraMs, Set<String> excludedEngines) {

	public PlacementRequest {
		excludedEngines = Set.copyOf(excludedEngines);
	}

	/**
	 * Returns whether the prompt is so short that its response, not its prefill, is the
	 * work of the request.
	 * @return whether it has few shared tokens
	 */
	public boolean isShortPrompt() {
		return this.prompt.sharedTokens() < EnginePlacer.MIN_AFFINITY_TOKENS;
	}

}
