package io.anvilusher.logic.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.DoubleUnaryOperator;

import io.anvilusher.model.fleet.EngineRole;
import io.anvilusher.model.request.PromptPart;
import io.anvilusher.model.request.PromptShape;

/**
 * Simulates requests with long prompts that several gateways, which do not communicate
 * with each other, place on the same engines.
 */
final class LoadReplay {

	static final long TARGET_MS = 150;

	private static final int GATEWAYS = 4;

	private static final int DOCUMENTS = 400;

	/**
	 * Time from the end of the prefill to the first event: KV transfer and first step.
	 */
	private static final double FIRST_EVENT_DELAY_MS = 8;

	private final Random random;

	private final List<EngineModel> engines = new ArrayList<>();

	private final List<List<TrackedServer>> tracks = new ArrayList<>();

	private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingDouble(Event::atMs));

	private int inTarget;

	private int late;

	private int rejected;

	LoadReplay(long seed) {
		this.random = new Random(seed);
		for (int index = 0; index < 10; index++) {
			boolean prefill = index < 3;
			this.engines.add(new EngineModel("e" + index, prefill ? EngineRole.PREFILL : EngineRole.DECODE,
					prefill ? 330 : 165));
		}
		for (int gateway = 0; gateway < GATEWAYS; gateway++) {
			this.tracks.add(this.engines.stream().map((engine) -> new TrackedServer(engine.server())).toList());
		}
	}

	/**
	 * Simulates all requests until their first event.
	 * @param lengthMs period in which requests arrive
	 * @param perMs mean arrival rate, in requests per millisecond, at a given time
	 * @param policy places the requests
	 * @return this replay, with its results
	 */
	LoadReplay simulate(double lengthMs, DoubleUnaryOperator perMs, Policy policy) {
		double nowMs = 0;
		while (nowMs < lengthMs) {
			nowMs += -Math.log(1 - this.random.nextDouble()) / perMs.applyAsDouble(nowMs);
			double atMs = nowMs;
			this.events.add(new Event(atMs, () -> arrive(atMs, policy)));
		}
		while (!this.events.isEmpty()) {
			this.events.poll().action().run();
		}
		return this;
	}

	private void arrive(double atMs, Policy policy) {
		List<TrackedServer> servers = this.tracks.get(this.random.nextInt(GATEWAYS));
		int document = (int) (DOCUMENTS * Math.pow(this.random.nextDouble(), 1.3));
		int ownTokens = 500 + this.random.nextInt(4_800);
		PromptShape prompt = new PromptShape(6_300 + ownTokens, 2, List.of(new PromptPart("s" + document % 4, 2_500),
				new PromptPart("d" + document, 3_800), new PromptPart("q" + atMs, ownTokens)));
		Placement placement = policy.place(prompt, servers, (long) atMs);
		if (placement instanceof Placement.SingleServer single) {
			send(prompt, single.server(), single.uncachedTokens(), atMs);
		}
		else if (placement instanceof Placement.Split split) {
			send(prompt, split.prefill(), split.uncachedTokens(), atMs);
		}
		else {
			this.rejected++;
		}
	}

	private void send(PromptShape prompt, TrackedServer server, int tokens, double atMs) {
		EngineModel engine = this.engines.stream()
			.filter((candidate) -> candidate.server().id().equals(server.server().id()))
			.findFirst()
			.orElseThrow();
		server.window().onSent(tokens, (long) atMs);
		double firstMs = engine.prefill(prompt, atMs) + FIRST_EVENT_DELAY_MS;
		this.events.add(new Event(firstMs, () -> {
			server.window().onSettled(tokens, (long) firstMs);
			server.window().onFirstEvent(tokens, (long) (firstMs - atMs), TARGET_MS, (long) firstMs);
			server.onPromptPrefilled(prompt.sharedParts());
			if (firstMs - atMs <= TARGET_MS) {
				this.inTarget++;
			}
			else {
				this.late++;
			}
		}));
	}

	int inTarget() {
		return this.inTarget;
	}

	int late() {
		return this.late;
	}

	int rejected() {
		return this.rejected;
	}

	@Override
	public String toString() {
		return "in target " + this.inTarget + ", late " + this.late + ", rejected " + this.rejected;
	}

	static Policy enginePlacer() {
		EnginePlacer placer = new EnginePlacer();
		return (prompt, servers, nowMs) -> placer.place("r", prompt, servers, Set.of(), TARGET_MS, nowMs);
	}

	static Policy fewestPendingTokens() {
		return (prompt, servers, nowMs) -> servers.stream()
			.min(Comparator.comparingDouble((server) -> server.window().pendingTokens()))
			.<Placement>map((server) -> new Placement.SingleServer(server, prompt.promptTokens()))
			.orElseThrow();
	}

	/**
	 * Placement algorithm under test.
	 */
	interface Policy {

		Placement place(PromptShape prompt, List<TrackedServer> servers, long nowMs);

	}

	private record Event(double atMs, Runnable action) {

	}

}
