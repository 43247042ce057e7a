package io.anvilusher.logic.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

import io.anvilusher.model.fleet.EngineRole;
import io.anvilusher.model.fleet.RegisteredServer;
import io.anvilusher.model.request.PromptPart;
import io.anvilusher.model.request.PromptShape;

/**
 * Simulates streams on engines with many slots, whose steps take longer the more requests
 * they run and whose prefill of further prompts delays each step.
 */
final class GenerationReplay {

	static final long FIRST_EVENT_TARGET_MS = 400;

	static final long PAUSE_TARGET_MS = 400;

	private static final int SLOTS = 64;

	private static final int PROMPT_TOKENS = 1_100;

	private static final int TOKENS_PER_EVENT = 13;

	private static final int EVENTS = 3;

	private static final int PREFILL_TOKENS_PER_STEP = 1_024;

	private static final double PREFILL_TOKENS_PER_MS = 24;

	private static final double STEP_MS = 2.6;

	private static final double STEP_MS_PER_REQUEST = 0.12;

	private final EnginePlacer placer = new EnginePlacer();

	private final Random random;

	private final List<SimulatedEngine> engines;

	private int pausesInTarget;

	private int pauses;

	GenerationReplay(long seed, int engineCount) {
		this.random = new Random(seed);
		this.engines = IntStream.range(0, engineCount).mapToObj(SimulatedEngine::new).toList();
	}

	GenerationReplay simulate(double lengthMs, double requestsPerMs) {
		int request = 0;
		for (double nowMs = 0; nowMs < lengthMs; nowMs++) {
			double atMs = nowMs;
			this.engines.forEach((engine) -> engine.advance(atMs));
			if (this.random.nextDouble() < requestsPerMs) {
				place(request++, (long) nowMs);
			}
		}
		return this;
	}

	private void place(int request, long nowMs) {
		PromptShape prompt = new PromptShape(PROMPT_TOKENS, TOKENS_PER_EVENT * EVENTS,
				List.of(new PromptPart("q" + request, PROMPT_TOKENS)));
		List<TrackedServer> tracked = this.engines.stream().map((engine) -> engine.tracked).toList();
		Placement placement = this.placer.place("r", prompt, tracked, Set.of(), FIRST_EVENT_TARGET_MS, nowMs);
		TrackedServer selected = ((Placement.SingleServer) placement).server();
		this.engines.stream().filter((engine) -> engine.tracked == selected).forEach((engine) -> engine.add(nowMs));
	}

	double shareOfPausesInTarget() {
		return (double) this.pausesInTarget / this.pauses;
	}

	private final class SimulatedEngine {

		private final TrackedServer tracked;

		private final List<SimulatedStream> streams = new ArrayList<>();

		private double stepEndsAtMs;

		private SimulatedEngine(int index) {
			this.tracked = new TrackedServer(new RegisteredServer("e" + index, 1, "llm", "10.0.0." + index + ":1", "a",
					SLOTS, false, Optional.of(EngineRole.DECODE)));
		}

		private void add(long nowMs) {
			this.tracked.onSent(nowMs);
			this.tracked.window().onSent(PROMPT_TOKENS, nowMs);
			this.tracked.onLoadReport(this.streams.size() + 1, 0, nowMs);
			this.streams.add(new SimulatedStream(nowMs));
		}

		private void advance(double nowMs) {
			if (nowMs < this.stepEndsAtMs || this.streams.isEmpty()) {
				return;
			}
			SimulatedStream prefilled = this.streams.stream()
				.filter((stream) -> stream.tokensToPrefill > 0)
				.findFirst()
				.orElse(null);
			this.streams.stream()
				.filter((stream) -> stream.tokensToPrefill <= 0)
				.forEach((stream) -> stream.generate(this.tracked, (long) nowMs));
			double prefillMs = 0;
			if (prefilled != null) {
				prefillMs = PREFILL_TOKENS_PER_STEP / PREFILL_TOKENS_PER_MS;
				prefilled.tokensToPrefill -= PREFILL_TOKENS_PER_STEP;
			}
			List<SimulatedStream> ended = this.streams.stream().filter(SimulatedStream::isEnded).toList();
			ended.forEach((stream) -> this.tracked.onEnded());
			this.streams.removeAll(ended);
			this.stepEndsAtMs = nowMs + STEP_MS + STEP_MS_PER_REQUEST * this.streams.size() + prefillMs;
		}

	}

	private final class SimulatedStream {

		private final long sentAtMs;

		private int tokensToPrefill = PROMPT_TOKENS;

		private int tokens;

		private long lastEventAtMs;

		private SimulatedStream(long sentAtMs) {
			this.sentAtMs = sentAtMs;
		}

		private void generate(TrackedServer engine, long nowMs) {
			this.tokens++;
			if (this.tokens == 1) {
				engine.window().onSettled(PROMPT_TOKENS, nowMs);
				engine.window().onFirstEvent(PROMPT_TOKENS, nowMs - this.sentAtMs, FIRST_EVENT_TARGET_MS, nowMs);
				this.lastEventAtMs = nowMs;
			}
			else if (this.tokens % TOKENS_PER_EVENT == 0) {
				long pauseMs = nowMs - this.lastEventAtMs;
				this.lastEventAtMs = nowMs;
				engine.generationLimit().onPause(pauseMs, PAUSE_TARGET_MS, engine.inFlight(), SLOTS, nowMs);
				GenerationReplay.this.pauses++;
				GenerationReplay.this.pausesInTarget += (pauseMs <= PAUSE_TARGET_MS) ? 1 : 0;
			}
		}

		private boolean isEnded() {
			return this.tokens >= TOKENS_PER_EVENT * EVENTS;
		}

	}

}
