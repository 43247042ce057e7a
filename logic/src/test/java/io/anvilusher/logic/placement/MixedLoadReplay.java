package io.anvilusher.logic.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

import io.anvilusher.model.fleet.EngineRole;
import io.anvilusher.model.fleet.RegisteredServer;
import io.anvilusher.model.request.PromptPart;
import io.anvilusher.model.request.PromptShape;

/**
 * Simulates a few streams among many long prompts, placed by gateways that each see only
 * a small part of both. An engine that prefills delays the streams that it generates.
 */
final class MixedLoadReplay {

	private static final long TARGET_MS = 150;

	private static final double PAUSE_TARGET_MS = 100;

	private static final int DOCUMENTS = 1_300;

	private static final double PREFILL_TOKENS_PER_MS = 165;

	/** Time between two events of a stream on an engine that prefills nothing. */
	private static final double IDLE_PAUSE_MS = 27;

	private static final int EVENTS = 3;

	private final Random random;

	private final List<RegisteredServer> servers;

	private final List<Gateway> gateways;

	private final Map<String, List<double[]>> prefillPeriods = new HashMap<>();

	private final Map<String, Double> freeAtMs = new HashMap<>();

	private final PriorityQueue<Event> events = new PriorityQueue<>((a, b) -> Double.compare(a.atMs(), b.atMs()));

	private final List<double[]> streams = new ArrayList<>();

	private final List<String> streamEngines = new ArrayList<>();

	MixedLoadReplay(long seed, int gatewayCount, int engineCount) {
		this.random = new Random(seed);
		this.servers = IntStream.range(0, engineCount)
			.mapToObj((index) -> new RegisteredServer("e" + index, 1, "llm", "10.0.0." + index + ":1", "a", 6, false,
					Optional.of(EngineRole.DECODE)))
			.toList();
		this.gateways = IntStream.range(0, gatewayCount)
			.mapToObj(
					(index) -> new Gateway(new EnginePlacer(), this.servers.stream().map(TrackedServer::new).toList()))
			.toList();
	}

	MixedLoadReplay simulate(double lengthMs, double longPerMs, double streamsPerMs) {
		double nowMs = 0;
		while (nowMs < lengthMs) {
			nowMs += -Math.log(1 - this.random.nextDouble()) / (longPerMs + streamsPerMs);
			runEventsUntil(nowMs);
			Gateway gateway = this.gateways.get(this.random.nextInt(this.gateways.size()));
			if (this.random.nextDouble() < streamsPerMs / (longPerMs + streamsPerMs)) {
				placeStream(gateway, nowMs);
			}
			else {
				placeLongPrompt(gateway, nowMs);
			}
		}
		return this;
	}

	private void runEventsUntil(double nowMs) {
		while (!this.events.isEmpty() && this.events.peek().atMs() <= nowMs) {
			this.events.poll().action().run();
		}
	}

	private void placeStream(Gateway gateway, double nowMs) {
		PromptShape prompt = new PromptShape(220, 134, List.of(new PromptPart("s" + nowMs, 220)));
		Placement placement = gateway.placer().place("r", prompt, gateway.engines(), Set.of(), TARGET_MS, (long) nowMs);
		TrackedServer engine = ((Placement.SingleServer) placement).server();
		this.streams.add(new double[] { nowMs, nowMs + EVENTS * IDLE_PAUSE_MS });
		this.streamEngines.add(engine.server().id());
	}

	private void placeLongPrompt(Gateway gateway, double nowMs) {
		int document = (int) (DOCUMENTS * Math.pow(this.random.nextDouble(), 1.3));
		PromptShape prompt = new PromptShape(9_200, 2, List.of(new PromptPart("a" + document % 4, 2_500),
				new PromptPart("d" + document, 3_800), new PromptPart("q" + nowMs, 2_900)));
		if (!(gateway.placer()
			.place("r", prompt, gateway.engines(), Set.of(), TARGET_MS,
					(long) nowMs) instanceof Placement.SingleServer single)) {
			return;
		}
		TrackedServer engine = single.server();
		String id = engine.server().id();
		int tokens = single.uncachedTokens();
		engine.window().onSent(tokens, (long) nowMs);
		double startMs = Math.max(nowMs, this.freeAtMs.getOrDefault(id, 0.0));
		double endMs = startMs + tokens / PREFILL_TOKENS_PER_MS;
		this.freeAtMs.put(id, endMs);
		this.prefillPeriods.computeIfAbsent(id, (name) -> new ArrayList<>()).add(new double[] { startMs, endMs });
		this.events.add(new Event(endMs, () -> {
			engine.window().onSettled(tokens, (long) endMs);
			engine.window().onFirstEvent(tokens, (long) (endMs - nowMs), TARGET_MS, (long) endMs);
			engine.onPromptPrefilled(prompt.sharedParts());
		}));
	}

	/**
	 * Returns how many streams have no pause beyond the target: the prefill of long
	 * prompts during a pause adds to it.
	 * @return a share of the streams from 0 to 1
	 */
	double shareOfStreamsInTarget() {
		long inTarget = IntStream.range(0, this.streams.size()).filter(this::isInTarget).count();
		return (double) inTarget / this.streams.size();
	}

	private boolean isInTarget(int index) {
		double startMs = this.streams.get(index)[0];
		return IntStream.range(0, EVENTS).noneMatch((event) -> {
			double fromMs = startMs + event * IDLE_PAUSE_MS;
			double toMs = fromMs + PAUSE_TARGET_MS;
			double prefillMs = this.prefillPeriods.getOrDefault(this.streamEngines.get(index), List.of())
				.stream()
				.mapToDouble((period) -> Math.max(0, Math.min(toMs, period[1]) - Math.max(fromMs, period[0])))
				.sum();
			return IDLE_PAUSE_MS + prefillMs > PAUSE_TARGET_MS;
		});
	}

	private record Gateway(EnginePlacer placer, List<TrackedServer> engines) {

	}

	private record Event(double atMs, Runnable action) {

	}

}
