package io.anvilusher.logic.placement.coordinated;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.DoubleConsumer;
import java.util.function.DoubleUnaryOperator;
import java.util.stream.IntStream;

import io.anvilusher.logic.placement.EnginePlacer;
import io.anvilusher.logic.placement.Placement;
import io.anvilusher.logic.placement.TrackedServer;
import io.anvilusher.model.fleet.EngineRole;
import io.anvilusher.model.fleet.RegisteredServer;
import io.anvilusher.model.request.PromptPart;
import io.anvilusher.model.request.PromptShape;

/**
 * Simulates long prompts and streams from many gateways on engines of two speeds, placed
 * by one coordinator or by each gateway alone. Messages between gateways are delayed.
 */
final class CoordinatedReplay {

	static final long TARGET_MS = 215;

	static final long DEADLINE_MS = 2_100;

	static final int PRIORITIES = 3;

	static final int LARGE_OWN_TOKENS = 5_000;

	private static final int GATEWAYS = 25;

	private static final int ENGINES = 16;

	private static final int SLOTS = 8;

	private static final int DOCUMENTS = 300;

	private static final double MESSAGE_MS = 5;

	private static final double STREAM_MS = 2_000;

	private static final double STREAMS_SHARE = 0.005;

	/** Interval at which a gateway or coordinator looks at its queue again. */
	private static final double QUEUE_INTERVAL_MS = 5;

	private final Random random;

	private final PlacementCoordinator coordinator;

	private final List<RegisteredServer> servers;

	private final List<List<TrackedServer>> tracked;

	private final EnginePlacer placer = new EnginePlacer();

	private final Map<String, Set<String>> cached = new HashMap<>();

	private final Map<String, Double> freeAtMs = new HashMap<>();

	private final Map<String, Integer> streams = new HashMap<>();

	private final Map<RequestKey, Request> undecided = new HashMap<>();

	private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingDouble(Event::atMs));

	private final List<Outcome> outcomes = new ArrayList<>();

	private final boolean coordinated;

	private boolean dispatchScheduled;

	CoordinatedReplay(long seed, boolean coordinated) {
		this.random = new Random(seed);
		this.coordinated = coordinated;
		this.coordinator = new PlacementCoordinator(300_000, new Random(seed));
		this.servers = IntStream.range(0, ENGINES)
			.mapToObj((index) -> new RegisteredServer("e" + index, 1, "llm", "10.0.0." + index + ":1", "a", SLOTS,
					false, Optional.of(EngineRole.DECODE)))
			.toList();
		this.tracked = IntStream.range(0, GATEWAYS)
			.mapToObj((gateway) -> this.servers.stream().map(TrackedServer::new).toList())
			.toList();
		this.coordinator.updateEngines(this.servers, 0);
	}

	static boolean isFast(String engineId) {
		return Integer.parseInt(engineId.substring(1)) % 4 == 0;
	}

	private static int relativeTimePercent(String engineId) {
		return isFast(engineId) ? 55 : 120;
	}

	/**
	 * Simulates all requests until their end.
	 * @param lengthMs period in which requests arrive
	 * @param perMs mean arrival rate, in requests per millisecond, at a given time
	 * @return this replay, with its results
	 */
	CoordinatedReplay simulate(double lengthMs, DoubleUnaryOperator perMs) {
		double nowMs = 0;
		long number = 0;
		while (nowMs < lengthMs) {
			nowMs += -Math.log(1 - this.random.nextDouble()) / perMs.applyAsDouble(nowMs);
			Request request = request(++number, nowMs);
			this.events.add(new Event(nowMs, () -> arrive(request)));
		}
		while (!this.events.isEmpty()) {
			this.events.poll().action().run();
		}
		return this;
	}

	private Request request(long number, double atMs) {
		RequestKey key = new RequestKey("g" + this.random.nextInt(GATEWAYS), number);
		if (this.random.nextDouble() < STREAMS_SHARE) {
			return new Request(key, new PromptShape(220, 72, List.of(new PromptPart("q" + number, 220))), atMs, 1);
		}
		int document = (int) (DOCUMENTS * Math.pow(this.random.nextDouble(), 1.3));
		int ownTokens = 500 + (int) Math.min(12_000, -2_390 * Math.log(1 - this.random.nextDouble()));
		return new Request(key,
				new PromptShape(6_300 + ownTokens, 2, List.of(new PromptPart("s" + document % 4, 2_500),
						new PromptPart("d" + document, 3_800), new PromptPart("q" + number, ownTokens))),
				atMs, this.random.nextInt(PRIORITIES));
	}

	private void arrive(Request request) {
		if (!this.coordinated) {
			placeAlone(request, request.atMs());
			return;
		}
		later(request.atMs() + MESSAGE_MS, (nowMs) -> {
			this.undecided.put(request.key(), request);
			PlacementRequest asked = new PlacementRequest(request.key(), request.prompt(),
					(long) request.atMs() + TARGET_MS, (long) request.atMs() + DEADLINE_MS, request.priority(), 0,
					Set.of());
			decided(request.key(), this.coordinator.onRequest(asked, (long) nowMs).orElseThrow(), nowMs);
			scheduleDispatch(nowMs);
		});
	}

	private void scheduleDispatch(double nowMs) {
		if (this.dispatchScheduled || !this.coordinator.hasQueued()) {
			return;
		}
		this.dispatchScheduled = true;
		later(nowMs + QUEUE_INTERVAL_MS, (atMs) -> {
			this.dispatchScheduled = false;
			dispatch(atMs);
			scheduleDispatch(atMs);
		});
	}

	private void dispatch(double nowMs) {
		this.coordinator.dispatch((long) nowMs).forEach((one) -> decided(one.key(), one.decision(), nowMs));
	}

	private void decided(RequestKey key, PlacementDecision decision, double nowMs) {
		if (decision instanceof PlacementDecision.Queued) {
			return;
		}
		Request request = this.undecided.remove(key);
		if (decision instanceof PlacementDecision.Assigned assigned) {
			later(nowMs + MESSAGE_MS, (atMs) -> send(request, assigned.engineId(), atMs));
		}
		else {
			this.outcomes.add(new Outcome(request, "", Double.MAX_VALUE, 0, 0));
		}
	}

	/** As in a gateway of its own, a prompt waits until an engine has room for it. */
	private void placeAlone(Request request, double nowMs) {
		List<TrackedServer> engines = this.tracked.get(Integer.parseInt(request.key().gateway().substring(1)));
		Placement placement = this.placer.place("r", request.prompt(), engines, Set.of(), TARGET_MS, (long) nowMs);
		if (placement instanceof Placement.SingleServer single) {
			single.server().window().onSent(single.uncachedTokens(), (long) nowMs);
			double firstMs = send(request, single.server().server().id(), nowMs);
			later(firstMs, (atMs) -> {
				single.server().window().onSettled(single.uncachedTokens(), (long) atMs);
				single.server()
					.window()
					.onFirstEvent(single.uncachedTokens(), (long) (atMs - nowMs), TARGET_MS, (long) atMs);
				single.server().onPromptPrefilled(request.prompt().sharedParts());
			});
		}
		else if (nowMs + QUEUE_INTERVAL_MS > request.atMs() + TARGET_MS) {
			this.outcomes.add(new Outcome(request, "", Double.MAX_VALUE, 0, 0));
		}
		else {
			later(nowMs + QUEUE_INTERVAL_MS, (atMs) -> placeAlone(request, atMs));
		}
	}

	private double send(Request request, String engineId, double nowMs) {
		int tokens = request.prompt().promptTokens();
		Set<String> held = this.cached.computeIfAbsent(engineId, (id) -> new HashSet<>());
		for (PromptPart part : request.prompt().sharedParts()) {
			tokens -= held.add(part.id()) ? 0 : part.tokens();
		}
		double msPerToken = relativeTimePercent(engineId) / 100.0 / 150;
		double firstMs = Math.max(nowMs, this.freeAtMs.getOrDefault(engineId, 0.0)) + tokens * msPerToken;
		this.freeAtMs.put(engineId, firstMs);
		this.outcomes.add(new Outcome(request, engineId, firstMs + MESSAGE_MS - request.atMs(), tokens * msPerToken,
				this.streams.getOrDefault(engineId, 0)));
		if (request.isStream()) {
			this.streams.merge(engineId, 1, Integer::sum);
			later(firstMs + STREAM_MS, (atMs) -> this.streams.merge(engineId, -1, Integer::sum));
		}
		if (this.coordinated) {
			reportLater(request, PlacementReport.Event.PREFILLED, engineId, firstMs + 2 * MESSAGE_MS);
			reportLater(request, PlacementReport.Event.ENDED, engineId,
					firstMs + (request.isStream() ? STREAM_MS : 60) + 2 * MESSAGE_MS);
		}
		return firstMs;
	}

	private void reportLater(Request request, PlacementReport.Event event, String engineId, double atMs) {
		PlacementReport report = new PlacementReport(event, engineId, OptionalLong.empty(), 150,
				List.of(new PlacementReport.EngineLoad(engineId, 0, 0, OptionalInt.of(relativeTimePercent(engineId)))));
		later(atMs, (nowMs) -> {
			this.coordinator.onReport(request.key(), report, (long) nowMs);
			dispatch(nowMs);
		});
	}

	private void later(double atMs, DoubleConsumer action) {
		this.events.add(new Event(atMs, () -> action.accept(atMs)));
	}

	List<Outcome> outcomes() {
		return List.copyOf(this.outcomes);
	}

	PlacementCoordinator coordinator() {
		return this.coordinator;
	}

	/**
	 * A simulated request.
	 */
	record Request(RequestKey key, PromptShape prompt, double atMs, int priority) {

		boolean isStream() {
			return this.prompt.sharedParts().isEmpty();
		}

		boolean isLarge() {
			return this.prompt.promptTokens() >= 6_300 + LARGE_OWN_TOKENS;
		}

	}

	/**
	 * What became of a request.
	 *
	 * @param request the request
	 * @param engineId engine that served it; empty text if it was refused
	 * @param firstEventMs time until the first event
	 * @param prefillMs time of its prefill
	 * @param streamsBeside streams that the engine generated when the request came
	 */
	record Outcome(Request request, String engineId, double firstEventMs, double prefillMs, int streamsBeside) {

		boolean isServed() {
			return this.firstEventMs <= DEADLINE_MS;
		}

		boolean isOnTime() {
			return this.firstEventMs <= TARGET_MS;
		}

	}

	private record Event(double atMs, Runnable action) {

	}

}
