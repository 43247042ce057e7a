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
 * Replays long prompts on engine models through several gateways that know nothing of
 * each other.
 */
final class LoadReplay {

	static final long TARGET_MS = 150;

	private static final int GATEWAYS = 4;

	private static final int DOCUMENTS = 400;

	/** Time of a transfer and a first step after the prompt was read, in ms. */
	private static final double GENERATE_MS = 8;

	private final Random random;

	private final List<EngineModel> engines = new ArrayList<>();

	private final List<List<ServerTrack>> tracks = new ArrayList<>();

	private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingDouble(Event::atMs));

	private int inTarget;

	private int late;

	private int turnedAway;

	LoadReplay(long seed) {
		this.random = new Random(seed);
		for (int index = 0; index < 10; index++) {
			boolean prefill = index < 3;
			this.engines.add(new EngineModel("e" + index, prefill ? EngineRole.PREFILL : EngineRole.DECODE,
					prefill ? 330 : 165));
		}
		for (int gateway = 0; gateway < GATEWAYS; gateway++) {
			this.tracks.add(this.engines.stream().map((engine) -> new ServerTrack(engine.server())).toList());
		}
	}

	/**
	 * Plays.
	 * @param lengthMs length of the arrivals
	 * @param perMs arrivals a millisecond by time
	 * @param policy places requests
	 * @return this replay, with its results
	 */
	LoadReplay play(double lengthMs, DoubleUnaryOperator perMs, Policy policy) {
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
		List<ServerTrack> known = this.tracks.get(this.random.nextInt(GATEWAYS));
		int document = (int) (DOCUMENTS * Math.pow(this.random.nextDouble(), 1.3));
		int own = 500 + this.random.nextInt(4_800);
		PromptShape prompt = new PromptShape(6_300 + own, 2, List.of(new PromptPart("s" + document % 4, 2_500),
				new PromptPart("d" + document, 3_800), new PromptPart("q" + atMs, own)));
		Placement placement = policy.place(prompt, known, (long) atMs);
		if (placement instanceof Placement.Whole whole) {
			send(prompt, whole.server(), whole.uncachedTokens(), atMs);
		}
		else if (placement instanceof Placement.Split split) {
			send(prompt, split.prefill(), split.uncachedTokens(), atMs);
		}
		else {
			this.turnedAway++;
		}
	}

	private void send(PromptShape prompt, ServerTrack track, int tokens, double atMs) {
		EngineModel engine = this.engines.stream()
			.filter((candidate) -> candidate.server().id().equals(track.server().id()))
			.findFirst()
			.orElseThrow();
		track.window().onSent(tokens, (long) atMs);
		double firstMs = engine.read(prompt, atMs) + GENERATE_MS;
		this.events.add(new Event(firstMs, () -> {
			track.window().onSettled(tokens, (long) firstMs);
			track.window().onFirstEvent(tokens, (long) (firstMs - atMs), TARGET_MS, (long) firstMs);
			track.onRead(prompt.sharedParts());
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

	int turnedAway() {
		return this.turnedAway;
	}

	@Override
	public String toString() {
		return "in target " + this.inTarget + ", late " + this.late + ", turned away " + this.turnedAway;
	}

	static Policy product() {
		EnginePlacer placer = new EnginePlacer();
		return (prompt, servers, nowMs) -> placer.place(prompt, servers, Set.of(), TARGET_MS, nowMs);
	}

	static Policy leastOutstanding() {
		return (prompt, servers, nowMs) -> servers.stream()
			.min(Comparator.comparingDouble((track) -> track.window().pendingTokens()))
			.<Placement>map((track) -> new Placement.Whole(track, prompt.promptTokens()))
			.orElseThrow();
	}

	/**
	 * Places requests.
	 */
	interface Policy {

		Placement place(PromptShape prompt, List<ServerTrack> servers, long nowMs);

	}

	private record Event(double atMs, Runnable action) {

	}

}
