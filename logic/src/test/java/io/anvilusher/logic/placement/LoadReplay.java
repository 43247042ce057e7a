package io.anvilusher.logic.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.DoubleUnaryOperator;
import java.util.function.Supplier;

import io.anvilusher.model.fleet.EngineRole;
import io.anvilusher.model.request.PromptPart;
import io.anvilusher.model.request.PromptShape;

/**
 * Simulates requests with long prompts that several gateways, which do not communicate
 * with each other, place on the same engines.
 */
final class LoadReplay {

	static final long TARGET_MS = 150;

	private static final long DEADLINE_MS = 2_000;

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

	private int expired;

	LoadReplay(long seed) {
		this(seed, 4, 10);
	}

	LoadReplay(long seed, int gateways, int engineCount) {
		this.random = new Random(seed);
		for (int index = 0; index < engineCount; index++) {
			boolean prefill = index < 0.3 * engineCount;
			this.engines.add(new EngineModel("e" + index, prefill ? EngineRole.PREFILL : EngineRole.DECODE,
					prefill ? 330 : 165));
		}
		for (int gateway = 0; gateway < gateways; gateway++) {
			this.tracks.add(this.engines.stream().map((engine) -> new TrackedServer(engine.server())).toList());
		}
	}

	/**
	 * Simulates all requests until their first event.
	 * @param lengthMs period in which requests arrive
	 * @param perMs mean arrival rate, in requests per millisecond, at a given time
	 * @param newPolicy creates what places the requests of one gateway
	 * @return this replay, with its results
	 */
	LoadReplay simulate(double lengthMs, DoubleUnaryOperator perMs, Supplier<Policy> newPolicy) {
		List<Policy> policies = this.tracks.stream().map((gateway) -> newPolicy.get()).toList();
		double nowMs = 0;
		while (nowMs < lengthMs) {
			nowMs += -Math.log(1 - this.random.nextDouble()) / perMs.applyAsDouble(nowMs);
			double atMs = nowMs;
			this.events.add(new Event(atMs, () -> arrive(atMs, policies)));
		}
		while (!this.events.isEmpty()) {
			this.events.poll().action().run();
		}
		return this;
	}

	private void arrive(double atMs, List<Policy> policies) {
		int gateway = this.random.nextInt(this.tracks.size());
		List<TrackedServer> servers = this.tracks.get(gateway);
		Policy policy = policies.get(gateway);
		int document = (int) (DOCUMENTS * Math.pow(this.random.nextDouble(), 1.3));
		int ownTokens = 500 + this.random.nextInt(4_800);
		PromptShape prompt = new PromptShape(6_300 + ownTokens, 2, List.of(new PromptPart("s" + document % 4, 2_500),
				new PromptPart("d" + document, 3_800), new PromptPart("q" + atMs, ownTokens)));
		place(policy, prompt, servers, Set.of(), atMs);
	}

	private void place(Policy policy, PromptShape prompt, List<TrackedServer> servers, Set<String> avoided,
			double atMs) {
		Placement placement = policy.place(prompt, servers, avoided, (long) atMs);
		if (placement instanceof Placement.Full) {
			placement = policy.onFull(prompt, servers, avoided, (long) atMs);
		}
		boolean accepted = false;
		TrackedServer engine = null;
		if (placement instanceof Placement.SingleServer single) {
			engine = single.server();
			accepted = send(policy, prompt, engine, single.uncachedTokens(), single.deferred(), atMs);
		}
		else if (placement instanceof Placement.Split split) {
			engine = split.prefill();
			accepted = send(policy, prompt, engine, split.uncachedTokens(), split.deferred(), atMs);
		}
		if (!accepted && engine != null && avoided.isEmpty()) {
			place(policy, prompt, servers, Set.of(engine.server().id()), atMs);
		}
		else if (!accepted) {
			this.rejected++;
		}
	}

	private boolean send(Policy policy, PromptShape prompt, TrackedServer server, int tokens, boolean deferred,
			double atMs) {
		EngineModel engine = this.engines.stream()
			.filter((candidate) -> candidate.server().id().equals(server.server().id()))
			.findFirst()
			.orElseThrow();
		if (deferred) {
			policy.onDeferredSent(server);
		}
		else {
			server.window().onSent(tokens, (long) atMs);
		}
		EnginePriority priority = deferred ? EnginePriority.DEFERRED : EnginePriority.LONG_PROMPT;
		boolean queued = engine.enqueue(prompt, priority, (endMs) -> {
			double firstMs = endMs + FIRST_EVENT_DELAY_MS;
			this.events
				.add(new Event(firstMs, () -> onFirstEvent(policy, prompt, server, tokens, deferred, atMs, firstMs)));
		});
		if (!queued && deferred) {
			policy.onDeferredSettled(server, false, (long) atMs);
		}
		else if (!queued) {
			server.window().onSettled(tokens, (long) atMs);
			server.window().onRejected(TARGET_MS, (long) atMs);
		}
		startNext(engine, atMs);
		return queued;
	}

	private void startNext(EngineModel engine, double nowMs) {
		engine.startNext(nowMs).ifPresent((prefill) -> this.events.add(new Event(prefill.endMs(), () -> {
			prefill.onEnd().run();
			startNext(engine, prefill.endMs());
		})));
	}

	private void onFirstEvent(Policy policy, PromptShape prompt, TrackedServer server, int tokens, boolean deferred,
			double atMs, double firstMs) {
		if (deferred) {
			policy.onDeferredSettled(server, firstMs - atMs <= DEADLINE_MS, (long) firstMs);
		}
		else {
			server.window().onSettled(tokens, (long) firstMs);
			policy.onResult(server, prompt, tokens, (long) (firstMs - atMs), (long) firstMs);
		}
		server.onPromptPrefilled(prompt.sharedParts());
		if (firstMs - atMs <= TARGET_MS) {
			this.inTarget++;
		}
		else if (firstMs - atMs <= DEADLINE_MS) {
			this.late++;
		}
		else {
			this.expired++;
		}
	}

	int inTarget() {
		return this.inTarget;
	}

	int late() {
		return this.late;
	}

	/**
	 * Returns how many requests were neither rejected nor served before their deadline.
	 * @return number of requests
	 */
	int expired() {
		return this.expired;
	}

	int rejected() {
		return this.rejected;
	}

	@Override
	public String toString() {
		return "in target " + this.inTarget + ", late " + this.late + ", rejected " + this.rejected + ", expired "
				+ this.expired;
	}

	static Policy enginePlacer() {
		EnginePlacer placer = new EnginePlacer();
		return new Policy() {

			@Override
			public Placement place(PromptShape prompt, List<TrackedServer> servers, Set<String> avoided, long nowMs) {
				return placer.place(prompt, servers, avoided, TARGET_MS, nowMs);
			}

			@Override
			public Placement onFull(PromptShape prompt, List<TrackedServer> servers, Set<String> avoided, long nowMs) {
				return placer.placeDeferred(prompt, servers, avoided, TARGET_MS, nowMs).orElseGet(Placement.Full::new);
			}

			@Override
			public void onDeferredSent(TrackedServer engine) {
				placer.onDeferredSent(engine);
			}

			@Override
			public void onDeferredSettled(TrackedServer engine, boolean served, long nowMs) {
				placer.onDeferredSettled(engine, served, TARGET_MS, nowMs);
			}

			@Override
			public void onResult(TrackedServer engine, PromptShape prompt, double tokens, long elapsedMs, long nowMs) {
				placer.onResult(engine, prompt, tokens, elapsedMs, TARGET_MS, nowMs);
			}

		};
	}

	static Policy fewestPendingTokens() {
		return (prompt, servers, avoided, nowMs) -> servers.stream()
			.filter((server) -> !avoided.contains(server.server().id()))
			.min(Comparator.comparingDouble((server) -> server.window().pendingTokens()))
			.<Placement>map((server) -> new Placement.SingleServer(server, prompt.promptTokens()))
			.orElseThrow();
	}

	/**
	 * Placement algorithm under test.
	 */
	interface Policy {

		Placement place(PromptShape prompt, List<TrackedServer> servers, Set<String> avoided, long nowMs);

		default Placement onFull(PromptShape prompt, List<TrackedServer> servers, Set<String> avoided, long nowMs) {
			return new Placement.Full();
		}

		default void onDeferredSent(TrackedServer engine) {
			// A baseline defers no prompts.
		}

		default void onDeferredSettled(TrackedServer engine, boolean served, long nowMs) {
			// A baseline defers no prompts.
		}

		default void onResult(TrackedServer engine, PromptShape prompt, double tokens, long elapsedMs, long nowMs) {
			engine.window().onFirstEvent(tokens, elapsedMs, TARGET_MS, nowMs);
		}

	}

	private record Event(double atMs, Runnable action) {

	}

}
