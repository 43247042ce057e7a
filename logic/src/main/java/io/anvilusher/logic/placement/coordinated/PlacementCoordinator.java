package io.anvilusher.logic.placement.coordinated;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

import io.anvilusher.logic.placement.RetryAfterEstimator;
import io.anvilusher.logic.placement.coordinated.EngineQueue.QueuedRequest;
import io.anvilusher.logic.routing.Rendezvous;
import io.anvilusher.model.fleet.RegisteredServer;
import io.anvilusher.model.request.PromptPart;
import io.anvilusher.model.request.PromptShape;

/**
 * Places the prompts of all gateways on the engines of one placement group. It is
 * designed for many gateways that each see few responses of each engine, for load peaks
 * of several times the mean, and for engines of different speed.
 * <p>
 * A long prompt goes to the engine with the earliest expected end, where the prefill of
 * shared parts that another engine has cached counts twice. It is sent once the engine is
 * about to become free and waits in the {@link EngineQueue} of the engine until then.
 * Short prompts with long responses are packed onto few engines, fast ones first, and
 * long prompts keep away from these. KV caches move only between engines of one software
 * version. Confined to one thread.
 */
public final class PlacementCoordinator {

	/**
	 * Backlog up to which an engine is sent requests: the time for which the next request
	 * is on its way.
	 */
	static final double BACKLOG_MS = 40;

	/**
	 * Time that a prefill on one engine and a decode on another take in addition: the
	 * second request and the transfer of the KV cache.
	 */
	static final double SPLIT_MS = 15;

	/** Weight of prefill that another engine would not have to repeat. */
	static final double REPEATED_WORK_WEIGHT = 1;

	/**
	 * Shares of the shared tokens that count as cached at the first engines by rank of a
	 * part that this coordinator has not seen: earlier coordinators used the same order.
	 */
	static final double[] UNKNOWN_CACHED_SHARES = { 0.7, 0.35 };

	/**
	 * Longest prefill of a long prompt on an engine that generates long responses: a
	 * small part of the pauses that are on time.
	 */
	static final double MAX_WORK_BESIDE_STREAMS_MS = 25;

	/** Cost of a long prompt on an engine that generates long responses. */
	static final double BESIDE_STREAMS_MS = 80;

	/**
	 * Cost of a long prompt whose prefill would delay events of these responses beyond
	 * their target: more than any prompt waits for another engine.
	 */
	static final double LONG_WORK_BESIDE_STREAMS_MS = 880;

	/** Maximum of requests that are remembered; further ones are not coordinated. */
	static final int MAX_REQUESTS = 20_000;

	private static final long EXPIRE_INTERVAL_MS = 500;

	private final long kvCapacityTokens;

	private final RandomGenerator random;

	private final RetryAfterEstimator retryAfter = new RetryAfterEstimator();

	private final Map<RequestKey, PlacedRequest> requests = new HashMap<>();

	private Map<String, EngineLedger> engines = Map.of();

	private Set<String> acceptingIds = Set.of();

	private long lastExpireMs;

	/**
	 * Creates a coordinator without engines.
	 * @param kvCapacityTokens capacity of an engine's KV cache, in tokens
	 * @param random spreads the retry-after times
	 */
	public PlacementCoordinator(long kvCapacityTokens, RandomGenerator random) {
		this.kvCapacityTokens = kvCapacityTokens;
		this.random = random;
	}

	/**
	 * Replaces the engines that take requests. What is known of an engine is kept as long
	 * as its incarnation is registered or has requests.
	 * @param accepting engines of the group that take new requests
	 * @param nowMs current time of the monotonic clock
	 * @return the requests that waited for an engine that takes none any more, placed
	 * anew
	 */
	public List<Decided> updateEngines(List<RegisteredServer> accepting, long nowMs) {
		Map<String, EngineLedger> next = new HashMap<>();
		Set<String> ids = new HashSet<>();
		accepting.forEach((server) -> {
			EngineLedger known = this.engines.get(server.id());
			boolean same = known != null && known.server().isSameIncarnation(server)
					&& known.server().role().equals(server.role());
			next.put(server.id(), same ? known : new EngineLedger(server, this.kvCapacityTokens, meanScale(server)));
			ids.add(server.id());
		});
		List<EngineLedger> left = this.engines.values()
			.stream()
			.filter((engine) -> next.get(engine.id()) != engine)
			.toList();
		left.stream()
			.filter((engine) -> engine.occupiedSlots() > 0 && !next.containsKey(engine.id()))
			.forEach((engine) -> next.put(engine.id(), engine));
		this.engines = next;
		this.acceptingIds = ids;
		return left.stream()
			.flatMap((engine) -> engine.queue().removeAll().stream())
			.flatMap((queued) -> replace(queued.request(), nowMs).stream())
			.toList();
	}

	private double meanScale(RegisteredServer server) {
		return this.engines.values()
			.stream()
			.filter((engine) -> engine.server().role().equals(server.role()))
			.mapToDouble((engine) -> engine.speed().scale())
			.average()
			.orElse(1);
	}

	/**
	 * Returns the ids of the engines that take requests.
	 * @return the ids
	 */
	public Set<String> acceptingIds() {
		return this.acceptingIds;
	}

	/**
	 * Decides about a request. A repeat of a request that is already known gets the
	 * current decision again.
	 * @param request the request
	 * @param nowMs current time of the monotonic clock
	 * @return the decision, or empty if too many requests are remembered
	 */
	public Optional<PlacementDecision> onRequest(PlacementRequest request, long nowMs) {
		PlacedRequest known = this.requests.get(request.key());
		if (known != null) {
			return Optional.of(known.decision());
		}
		if (this.requests.size() >= MAX_REQUESTS) {
			return Optional.empty();
		}
		return Optional.of(place(request, nowMs));
	}

	private List<Decided> replace(PlacementRequest request, long nowMs) {
		this.requests.remove(request.key());
		PlacementDecision decision = place(request, nowMs);
		return (decision instanceof PlacementDecision.Queued) ? List.of()
				: List.of(new Decided(request.key(), decision));
	}

	private PlacementDecision place(PlacementRequest request, long nowMs) {
		List<EngineLedger> usable = usable(request, nowMs);
		if (usable.stream().allMatch(EngineLedger::isPrefill)) {
			return new PlacementDecision.NoEngine();
		}
		return request.isShortPrompt() ? placeShortPrompt(request, usable, nowMs)
				: placeLongPrompt(request, usable, nowMs);
	}

	// Engines in a pause are used only if all are.
	private List<EngineLedger> usable(PlacementRequest request, long nowMs) {
		List<EngineLedger> accepting = this.engines.values()
			.stream()
			.filter((engine) -> this.acceptingIds.contains(engine.id()))
			.filter((engine) -> !request.excludedEngines().contains(engine.id()))
			.toList();
		List<EngineLedger> usable = accepting.stream().filter((engine) -> engine.isUsable(nowMs)).toList();
		return withoutUnmatchedPrefill(usable.stream().allMatch(EngineLedger::isPrefill) ? accepting : usable);
	}

	// Without a decode engine of its software version, no engine can fetch what a prefill
	// engine computes.
	private static List<EngineLedger> withoutUnmatchedPrefill(List<EngineLedger> engines) {
		return engines.stream()
			.filter((engine) -> !engine.isPrefill() || engines.stream().anyMatch((other) -> canFetch(other, engine)))
			.toList();
	}

	private static boolean canFetch(EngineLedger engine, EngineLedger source) {
		return !engine.isPrefill() && engine.server().runsSoftwareOf(source.server());
	}

	private PlacementDecision placeShortPrompt(PlacementRequest request, List<EngineLedger> usable, long nowMs) {
		Comparator<EngineLedger> order = streamOrder();
		List<EngineLedger> decoding = usable.stream().filter((engine) -> !engine.isPrefill()).sorted(order).toList();
		EngineLedger engine = decoding.stream()
			.filter((candidate) -> candidate.streamLoad() < 1)
			.findFirst()
			.or(() -> decoding.stream()
				.min(Comparator.comparingDouble(EngineLedger::streamLoad)
					.thenComparingInt(EngineLedger::occupiedSlots)))
			.orElseThrow();
		return assign(request, engine, Optional.empty(), engine.uncachedTokens(request.prompt()), nowMs);
	}

	private static Comparator<EngineLedger> streamOrder() {
		return Comparator.<EngineLedger>comparingDouble((engine) -> engine.speed().usualRelativeTime())
			.thenComparingDouble((engine) -> Rendezvous.rank(engine.id(), engine.server().service(), 1));
	}

	private PlacementDecision placeLongPrompt(PlacementRequest request, List<EngineLedger> usable, long nowMs) {
		List<Candidate> candidates = candidates(request, usable, nowMs);
		Candidate best = candidates.stream().min(Comparator.comparingDouble(Candidate::costMs)).orElseThrow();
		EngineLedger engine = best.engine();
		double workMs = engine.workMs(best.uncachedTokens());
		QueuedRequest queued = new QueuedRequest(request, nowMs, best.uncachedTokens());
		if (!queued.meetsDeadline(engine.backlogMs(nowMs) + workMs, nowMs)) {
			return refused(nowMs);
		}
		if (engine.queue().size() == 0 && hasRoom(engine, nowMs)) {
			return send(queued, engine, nowMs);
		}
		double aheadMs = engine.backlogMs(nowMs)
				+ engine.queue().workMs((ahead) -> engine.workMs(ahead.uncachedTokens()), true);
		boolean onTime = queued.isOnTime(aheadMs + workMs, nowMs);
		if (!onTime && engine.queue().lateWorkMs((ahead) -> engine.workMs(ahead.uncachedTokens()))
				+ workMs > EngineQueue.MAX_LATE_WORK_MS) {
			return refused(nowMs);
		}
		engine.queue().add(queued, onTime);
		PlacementDecision decision = new PlacementDecision.Queued();
		this.requests.put(request.key(), new PlacedRequest(engine, Optional.empty(), decision, 0));
		return decision;
	}

	private List<Candidate> candidates(PlacementRequest request, List<EngineLedger> considered, long nowMs) {
		PromptShape prompt = request.prompt();
		List<PromptPart> shared = prompt.sharedParts();
		String key = shared.get(shared.size() - 1).id();
		boolean known = considered.stream().anyMatch((engine) -> engine.cachedParts().holds(key));
		Map<EngineLedger, Integer> uncached = considered.stream()
			.collect(Collectors.toMap((engine) -> engine, (engine) -> engine.uncachedTokens(prompt)));
		if (!known) {
			List<EngineLedger> ranked = Rendezvous.sortByRank(considered, (engine) -> Rendezvous.rank(engine.id(), key,
					1 / (engine.speed().usualRelativeTime() * (engine.isPrefill() ? 1 : 2))));
			for (int rank = 0; rank < Math.min(UNKNOWN_CACHED_SHARES.length, ranked.size()); rank++) {
				double cachedTokens = UNKNOWN_CACHED_SHARES[rank] * prompt.sharedTokens();
				uncached.merge(ranked.get(rank), (int) Math.max(1, prompt.promptTokens() - cachedTokens), Math::min);
			}
		}
		int fewest = uncached.values().stream().mapToInt(Integer::intValue).min().orElse(1);
		return considered.stream()
			.map((engine) -> candidate(engine, uncached.get(engine), fewest, request.splitExtraMs(), nowMs))
			.toList();
	}

	private static Candidate candidate(EngineLedger engine, int uncachedTokens, int fewestTokens, long splitExtraMs,
			long nowMs) {
		double workMs = engine.workMs(uncachedTokens);
		double queuedMs = engine.queue().workMs((queued) -> engine.workMs(queued.uncachedTokens()), true);
		double endMs = engine.backlogMs(nowMs) + queuedMs + workMs + (engine.isPrefill() ? SPLIT_MS + splitExtraMs : 0);
		double repeatedMs = REPEATED_WORK_WEIGHT * engine.workMs(uncachedTokens - fewestTokens);
		return new Candidate(engine, uncachedTokens, endMs + repeatedMs + streamDelayMs(engine, workMs));
	}

	private static double streamDelayMs(EngineLedger engine, double workMs) {
		if (engine.streams() == 0) {
			return 0;
		}
		return (workMs > MAX_WORK_BESIDE_STREAMS_MS) ? LONG_WORK_BESIDE_STREAMS_MS : BESIDE_STREAMS_MS;
	}

	private static boolean hasRoom(EngineLedger engine, long nowMs) {
		return engine.backlogMs(nowMs) <= BACKLOG_MS && engine.hasSlot() && engine.isUsable(nowMs);
	}

	private PlacementDecision send(QueuedRequest queued, EngineLedger engine, long nowMs) {
		PlacementRequest request = queued.request();
		Optional<EngineLedger> decode = engine.isPrefill() ? selectDecodeEngine(request, engine, nowMs)
				: Optional.empty();
		if (engine.isPrefill() && decode.isEmpty()) {
			this.requests.remove(request.key());
			return new PlacementDecision.NoEngine();
		}
		return assign(request, engine, decode, engine.uncachedTokens(request.prompt()), nowMs);
	}

	private Optional<EngineLedger> selectDecodeEngine(PlacementRequest request, EngineLedger source, long nowMs) {
		return usable(request, nowMs).stream()
			.filter((engine) -> canFetch(engine, source))
			.min(Comparator.<EngineLedger, Boolean>comparing((engine) -> !engine.hasSlot())
				.thenComparing((engine) -> engine.streams() > 0)
				.thenComparing((engine) -> !engine.server().dataCentre().equals(source.server().dataCentre()))
				.thenComparingDouble((engine) -> engine.occupiedSlots() * engine.speed().usualRelativeTime()
						+ engine.backlogMs(nowMs) / BACKLOG_MS));
	}

	private PlacementDecision assign(PlacementRequest request, EngineLedger engine, Optional<EngineLedger> decode,
			int uncachedTokens, long nowMs) {
		double expectedMs = EngineLedger.MESSAGE_MS + engine.backlogMs(nowMs) + engine.workMs(uncachedTokens)
				+ (decode.isPresent() ? SPLIT_MS : 0);
		boolean late = nowMs + expectedMs > request.targetAtMs();
		engine.assign(request, uncachedTokens, nowMs);
		decode.ifPresent((target) -> target.assignDecode(request, nowMs));
		PlacementDecision decision = new PlacementDecision.Assigned(engine.id(), decode.map(EngineLedger::id),
				uncachedTokens, late, (long) expectedMs);
		this.requests.put(request.key(), new PlacedRequest(engine, decode, decision, uncachedTokens));
		return decision;
	}

	private PlacementDecision refused(long nowMs) {
		double pendingTokens = this.engines.values()
			.stream()
			.mapToDouble((engine) -> (engine.backlogMs(nowMs)
					+ engine.queue().workMs((queued) -> engine.workMs(queued.uncachedTokens()), false))
					/ engine.speed().msPerToken())
			.sum();
		return new PlacementDecision.Refused(
				this.retryAfter.retryAfterMs(pendingTokens, this.random.nextDouble(), nowMs));
	}

	/**
	 * Sends queued requests to engines that have room, and refuses those that can no
	 * longer be served.
	 * @param nowMs current time of the monotonic clock
	 * @return the decisions about queued requests
	 */
	public List<Decided> dispatch(long nowMs) {
		List<Decided> decided = new ArrayList<>();
		if (nowMs - this.lastExpireMs >= EXPIRE_INTERVAL_MS) {
			this.lastExpireMs = nowMs;
			this.engines.values()
				.stream()
				.flatMap((engine) -> engine.expire(nowMs).stream())
				.toList()
				.forEach(this.requests::remove);
			// A restarted engine has a new ledger, without the requests of the old one.
			this.requests.values().removeIf((placed) -> {
				EngineLedger last = placed.decode().orElse(placed.engine());
				return last != this.engines.get(last.id());
			});
		}
		this.engines.values().stream().filter((engine) -> engine.queue().size() > 0).forEach((engine) -> {
			engine.queue()
				.removeUnservable((queued) -> engine.workMs(queued.uncachedTokens()), nowMs)
				.forEach((queued) -> {
					this.requests.remove(queued.request().key());
					decided.add(new Decided(queued.request().key(), refused(nowMs)));
				});
			while (engine.queue().size() > 0 && hasRoom(engine, nowMs)) {
				engine.queue()
					.poll((queued) -> engine.workMs(queued.uncachedTokens()), nowMs)
					.ifPresent(
							(queued) -> decided.add(new Decided(queued.request().key(), send(queued, engine, nowMs))));
			}
		});
		return decided;
	}

	/**
	 * Returns whether requests are queued.
	 * @return whether {@link #dispatch} has something to do later
	 */
	public boolean hasQueued() {
		return this.engines.values().stream().anyMatch((engine) -> engine.queue().size() > 0);
	}

	int rememberedRequests() {
		return this.requests.size();
	}

	int occupiedSlots() {
		return this.engines.values().stream().mapToInt(EngineLedger::occupiedSlots).sum();
	}

	/**
	 * Records a report about a request.
	 * @param key identifies the request
	 * @param report what happened
	 * @param nowMs current time of the monotonic clock
	 */
	public void onReport(RequestKey key, PlacementReport report, long nowMs) {
		report.loads()
			.forEach((load) -> Optional.ofNullable(this.engines.get(load.engineId()))
				.ifPresent((engine) -> load.relativeTimePercent().ifPresent(engine.speed()::onReport)));
		PlacedRequest placed = this.requests.get(key);
		if (placed == null) {
			return;
		}
		switch (report.event()) {
			case PREFILLED -> {
				placed.engine().onPrefilled(key, nowMs);
				this.retryAfter.onDone(placed.uncachedTokens(), nowMs);
			}
			case REJECTED -> {
				failedEngine(placed, report).ifPresent((engine) -> engine.onRejected(nowMs));
				forget(key, placed, nowMs);
			}
			case FAILED -> {
				failedEngine(placed, report).ifPresent((engine) -> engine.onFailed(nowMs));
				forget(key, placed, nowMs);
			}
			case ENDED -> {
				report.longestPauseMs()
					.ifPresent((pauseMs) -> placed.decode()
						.orElse(placed.engine())
						.onPause(pauseMs, report.pauseTargetMs(), nowMs));
				forget(key, placed, nowMs);
			}
		}
	}

	private static Optional<EngineLedger> failedEngine(PlacedRequest placed, PlacementReport report) {
		return placed.decode()
			.filter((engine) -> engine.id().equals(report.engineId()))
			.or(() -> Optional.of(placed.engine()).filter((engine) -> engine.id().equals(report.engineId())));
	}

	private void forget(RequestKey key, PlacedRequest placed, long nowMs) {
		this.requests.remove(key);
		placed.engine().queue().remove(key);
		placed.engine().onEnded(key, nowMs);
		placed.decode().ifPresent((engine) -> engine.onEnded(key, nowMs));
	}

	/**
	 * A decision about a request that was queued.
	 *
	 * @param key identifies the request
	 * @param decision the decision
	 */
	public record Decided(RequestKey key, PlacementDecision decision) {

	}

	private record Candidate(EngineLedger engine, int uncachedTokens, double costMs) {

	}

	private record PlacedRequest(EngineLedger engine, Optional<EngineLedger> decode, PlacementDecision decision,
			int uncachedTokens) {

	}

}
