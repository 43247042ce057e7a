package io.anvilusher.logic.placement;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import io.anvilusher.model.fleet.EngineRole;
import io.anvilusher.model.fleet.RegisteredServer;
import io.anvilusher.model.request.PromptPart;
import io.anvilusher.model.request.PromptShape;

/**
 * Simulated model engine that prefills prompts one after another and caches their shared
 * parts.
 */
final class EngineModel {

	private final RegisteredServer server;

	private final double tokensPerMs;

	private final Set<String> cached = new HashSet<>();

	private double freeAtMs;

	EngineModel(String id, EngineRole role, double tokensPerMs) {
		this.server = new RegisteredServer(id, 1, "llm", "10.0.0.1:" + (1_000 + Math.abs(id.hashCode() % 9_000)), "a",
				16, false, Optional.of(role));
		this.tokensPerMs = tokensPerMs;
	}

	RegisteredServer server() {
		return this.server;
	}

	/**
	 * Prefills a prompt after those that arrived before.
	 * @param prompt the prompt
	 * @param nowMs arrival time of the prompt
	 * @return time at which the prefill is complete
	 */
	double prefill(PromptShape prompt, double nowMs) {
		int tokens = prompt.promptTokens();
		for (PromptPart part : prompt.sharedParts()) {
			if (!this.cached.add(part.id())) {
				tokens -= part.tokens();
			}
		}
		this.freeAtMs = Math.max(this.freeAtMs, nowMs) + tokens / this.tokensPerMs;
		return this.freeAtMs;
	}

}
