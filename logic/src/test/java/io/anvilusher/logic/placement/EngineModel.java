package io.anvilusher.logic.placement;

import java.util.Comparator;
import java.util.HashSet;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.DoubleConsumer;

import io.anvilusher.model.fleet.EngineRole;
import io.anvilusher.model.fleet.RegisteredServer;
import io.anvilusher.model.request.PromptPart;
import io.anvilusher.model.request.PromptShape;

/**
 * Simulated model engine that prefills prompts one after another and caches their shared
 * parts.
 */
final class EngineModel {

	private static final int MAX_WAITING = 18;

	private final RegisteredServer server;

	private final double tokensPerMs;

	private final Set<String> cached = new HashSet<>();

	private final PriorityQueue<WaitingPrompt> waiting = new PriorityQueue<>(
			Comparator.comparingInt((WaitingPrompt prompt) -> prompt.priority().level())
				.thenComparingLong(WaitingPrompt::arrival));

	private long arrivals;

	private boolean prefilling;

	EngineModel(String id, EngineRole role, double tokensPerMs) {
		this.server = new RegisteredServer(id, 1, "llm", "10.0.0.1:" + (1_000 + Math.abs(id.hashCode() % 9_000)), "a",
				16, false, Optional.of(role));
		this.tokensPerMs = tokensPerMs;
	}

	RegisteredServer server() {
		return this.server;
	}

	/**
	 * Adds a prompt to those that wait for the engine.
	 * @param prompt the prompt
	 * @param priority order among the waiting prompts; equal ones are served in order of
	 * arrival
	 * @param onPrefilled called with the time at which the prefill is complete
	 * @return whether the prompt is queued; false if the queue is full
	 */
	boolean enqueue(PromptShape prompt, EnginePriority priority, DoubleConsumer onPrefilled) {
		if (this.waiting.size() >= MAX_WAITING) {
			return false;
		}
		return this.waiting.add(new WaitingPrompt(prompt, priority, this.arrivals++, onPrefilled));
	}

	/**
	 * Starts to prefill the next prompt if the engine is idle and one waits.
	 * @param nowMs current time
	 * @return what to call at which time, when the prefill is complete
	 */
	Optional<Prefill> startNext(double nowMs) {
		if (this.prefilling || this.waiting.isEmpty()) {
			return Optional.empty();
		}
		this.prefilling = true;
		WaitingPrompt next = this.waiting.poll();
		double endMs = nowMs + uncachedTokens(next.prompt()) / this.tokensPerMs;
		return Optional.of(new Prefill(endMs, () -> {
			this.prefilling = false;
			next.onPrefilled().accept(endMs);
		}));
	}

	private int uncachedTokens(PromptShape prompt) {
		int cached = prompt.sharedParts()
			.stream()
			.filter((part) -> !this.cached.add(part.id()))
			.mapToInt(PromptPart::tokens)
			.sum();
		return prompt.promptTokens() - cached;
	}

	/**
	 * A prefill that the engine has started.
	 *
	 * @param endMs time at which it is complete
	 * @param onEnd to be called at that time
	 */
	record Prefill(double endMs, Runnable onEnd) {

	}

	private record WaitingPrompt(PromptShape prompt, EnginePriority priority, long arrival,
			DoubleConsumer onPrefilled) {

	}

}
