package io.anvilusher.logic.placement;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;

import io.anvilusher.logic.routing.Rendezvous;
import io.anvilusher.model.request.PromptPart;
import io.anvilusher.model.request.PromptShape;

/**
 * Places requests on model engines. It is designed for two kinds of requests: bursts of
 * long prompts with short responses, whose shared prompt parts together exceed the KV
 * cache of one engine, and short prompts with long responses. The latter are worth
 * several times as much, and the prefill of long prompts must not delay their decode. KV
 * caches move only between engines of one software version.
 * <p>
 * Long prompts are placed by rendezvous hashing on the last shared part, so that normally
 * only one engine, the home of the part, has to prefill it. If the {@link PromptWindow}
 * of that engine is full, the next engine in the order of the part is used. Engines with
 * the prefill role are homes more often, since they prefill faster; a decode engine then
 * fetches the KV cache. Short prompts fill the decode engines in an order that is the
 * same on all gateways, and long prompts avoid the engines that serve short ones. The
 * first engines in that order are kept free of long prompts even while they are idle:
 * each gateway sees few of the short prompts, but two long prompts at once are enough to
 * make a stream's pause too long.
 */
public final class EnginePlacer {

	/**
	 * Prompts with fewer shared tokens are placed as short prompts: prefilling them again
	 * takes only a few milliseconds.
	 */
	public static final int MIN_AFFINITY_TOKENS = 1_024;

	/**
	 * Number of engines that may be the home of a shared part, as in consistent hashing
	 * with bounded loads.
	 */
	static final int MAX_HOMES = 3;

	/**
	 * Hashing weight of a prefill engine; a decode engine has 1. The ratio is that of
	 * their prefill speeds while the decode engine also generates.
	 */
	static final double PREFILL_WEIGHT = 2;

	/**
	 * Reported numbers of waiting requests are ignored when they are older than this: the
	 * time of a batch of long prompts.
	 */
	static final long MAX_WAITING_AGE_MS = 250;

	/**
	 * Reported numbers of running requests are ignored when they are older than this: the
	 * duration of a long response.
	 */
	public static final long MAX_RUNNING_AGE_MS = 8_000;

	private final Map<String, ReservedEngines> reservedByService = new HashMap<>();

	private final Map<Kind, PromptSizes> sizesByKind = new LinkedHashMap<>(16, 0.75f, true) {

		@Override
		protected boolean removeEldestEntry(Map.Entry<Kind, PromptSizes> eldest) {
			return size() > MAX_KINDS;
		}

	};

	/** Kinds of requests whose sizes are remembered; the least recently used are left. */
	private static final int MAX_KINDS = 1_024;

	/**
	 * An engine with at least this many steady requests serves short prompts. Long
	 * prompts alone leave fewer requests running, because their responses are short.
	 */
	static final int MIN_SHORT_PROMPT_REQUESTS = 4;

	/**
	 * Share of the shared tokens that is expected in the KV cache of the first home,
	 * because other gateways send the same parts there. In the expected workloads, this
	 * share of the shared parts repeats earlier ones.
	 */
	static final double HOME_CACHE_HIT_SHARE = 0.8;

	/**
	 * Selects the engine or, if the prompt is prefilled on a prefill engine, the pair of
	 * engines for a request. Counts a long prompt that is placed, so that the sizes
	 * within a kind of request can be compared.
	 * @param route name of the route, which tells the kind of request
	 * @param prompt the prompt
	 * @param engines engines of the service that accept requests
	 * @param avoided ids of engines that earlier attempts of this request were sent to
	 * @param targetMs target latency of the first event
	 * @param nowMs current time of the monotonic clock
	 * @return the placement; {@link Placement.Full} if no engine has capacity for a long
	 * prompt, {@link Placement.NoServer} if no engine with the decode role is left to try
	 */
	public Placement place(String route, PromptShape prompt, List<TrackedServer> engines, Set<String> avoided,
			long targetMs, long nowMs) {
		List<TrackedServer> usable = usable(engines, avoided, nowMs);
		List<TrackedServer> decodeEngines = withDecodeRole(usable);
		if (decodeEngines.isEmpty()) {
			return new Placement.NoServer();
		}
		if (prompt.sharedTokens() < MIN_AFFINITY_TOKENS) {
			TrackedServer engine = placeShortPrompt(prompt, decodeEngines, targetMs, nowMs);
			return new Placement.SingleServer(engine, engine.uncachedTokens(prompt));
		}
		Set<TrackedServer> reserved = reserved(decodeEngines, nowMs).select(decodeEngines, nowMs);
		List<TrackedServer> longPromptEngines = usable.stream()
			.filter((engine) -> engine.isPrefill()
					|| (!reserved.contains(engine) && !servesShortPrompts(engine, nowMs)))
			.toList();
		PromptSizes sizes = sizes(new Kind(decodeEngines.get(0).server().service(), route));
		return placeLongPrompt(prompt, sizes, longPromptEngines.isEmpty() ? usable : longPromptEngines, decodeEngines,
				targetMs, nowMs)
			.orElseGet(Placement.Full::new);
	}

	/**
	 * Records that a request was refused because no engine had room for it.
	 * @param service name of the service
	 * @param route name of the route
	 * @param prompt the prompt
	 */
	public void onRefused(String service, String route, PromptShape prompt) {
		if (prompt.sharedTokens() >= MIN_AFFINITY_TOKENS) {
			sizes(new Kind(service, route)).onRefused(prompt.promptTokens());
		}
	}

	private PromptSizes sizes(Kind kind) {
		return this.sizesByKind.computeIfAbsent(kind, (added) -> new PromptSizes());
	}

	/**
	 * Selects another decode engine to fetch a KV cache, after the one selected before
	 * did not accept the request.
	 * @param source the engine that holds the KV cache
	 * @param engines engines of the service that accept requests
	 * @param avoided ids of engines that earlier attempts of this request were sent to
	 * @param targetMs target latency of the first event
	 * @param nowMs current time of the monotonic clock
	 * @return the engine, or empty if no engine with the decode role and the software
	 * version of the source is left to try
	 */
	public Optional<TrackedServer> placeDecode(TrackedServer source, List<TrackedServer> engines, Set<String> avoided,
			long targetMs, long nowMs) {
		List<TrackedServer> decodeEngines = withDecodeRole(usable(withSoftwareOf(source, engines), avoided, nowMs));
		return decodeEngines.isEmpty() ? Optional.empty()
				: Optional.of(selectDecodeEngine(source, decodeEngines, targetMs, nowMs));
	}

	/**
	 * Selects the engines whose load should be known before a request is placed, because
	 * a long response would wait for seconds at an engine without a spare slot.
	 * @param prompt the prompt
	 * @param engines engines of the service that accept requests
	 * @param avoided ids of engines that earlier attempts of this request were sent to
	 * @param nowMs current time of the monotonic clock
	 * @return the engines without a fresh load report; empty if the request can be placed
	 * now
	 */
	public List<TrackedServer> enginesToProbe(PromptShape prompt, List<TrackedServer> engines, Set<String> avoided,
			long nowMs) {
		List<TrackedServer> decodeEngines = withDecodeRole(usable(engines, avoided, nowMs));
		if (decodeEngines.size() < 2 || prompt.sharedTokens() >= MIN_AFFINITY_TOKENS) {
			return List.of();
		}
		List<TrackedServer> compared = reserved(decodeEngines, nowMs).compared(decodeEngines, spreadKey(prompt));
		long spare = ReservedEngines.fresh(compared, nowMs)
			.filter((engine) -> engine.generationLoad(nowMs) < 1)
			.count();
		return (spare > 0) ? List.of()
				: compared.stream()
					.filter((engine) -> engine.reportAgeMs(nowMs) > ReservedEngines.FRESH_REPORT_AGE_MS)
					.toList();
	}

	private static String spreadKey(PromptShape prompt) {
		return prompt.parts().isEmpty() ? "" : prompt.parts().get(prompt.parts().size() - 1).id();
	}

	private ReservedEngines reserved(List<TrackedServer> decodeEngines, long nowMs) {
		return this.reservedByService.computeIfAbsent(decodeEngines.get(0).server().service(),
				(service) -> new ReservedEngines(nowMs));
	}

	private static List<TrackedServer> usable(List<TrackedServer> engines, Set<String> avoided, long nowMs) {
		List<TrackedServer> untried = engines.stream()
			.filter((engine) -> !avoided.contains(engine.server().id()))
			.toList();
		List<TrackedServer> healthy = untried.stream().filter((engine) -> !engine.health().isUnhealthy(nowMs)).toList();
		return withoutUnmatchedPrefill(healthy.stream().allMatch(TrackedServer::isPrefill) ? untried : healthy);
	}

	// Without a decode engine of its software version, no engine can fetch what a prefill
	// engine computes.
	private static List<TrackedServer> withoutUnmatchedPrefill(List<TrackedServer> engines) {
		List<TrackedServer> decodeEngines = withDecodeRole(engines);
		return engines.stream()
			.filter((engine) -> !engine.isPrefill() || !withSoftwareOf(engine, decodeEngines).isEmpty())
			.toList();
	}

	private static List<TrackedServer> withSoftwareOf(TrackedServer source, List<TrackedServer> engines) {
		return engines.stream().filter((engine) -> engine.server().runsSoftwareOf(source.server())).toList();
	}

	private static List<TrackedServer> withDecodeRole(List<TrackedServer> engines) {
		return engines.stream().filter((engine) -> !engine.isPrefill()).toList();
	}

	private static boolean servesShortPrompts(TrackedServer engine, long nowMs) {
		return engine.steadyRequests(nowMs) >= MIN_SHORT_PROMPT_REQUESTS;
	}

	private Optional<Placement> placeLongPrompt(PromptShape prompt, PromptSizes sizes, List<TrackedServer> candidates,
			List<TrackedServer> decodeEngines, long targetMs, long nowMs) {
		List<PromptPart> shared = prompt.sharedParts();
		String key = shared.get(shared.size() - 1).id();
		List<TrackedServer> homes = Rendezvous.sortByRank(candidates,
				(engine) -> Rendezvous.rank(engine.server().id(), key, engine.isPrefill() ? PREFILL_WEIGHT : 1));
		Optional<Home> home = IntStream.range(0, Math.min(MAX_HOMES, homes.size()))
			.mapToObj((rank) -> new Home(homes.get(rank), tokensToPrefill(prompt, homes.get(rank), rank)))
			.filter((candidate) -> candidate.engine()
				.window()
				.fits(sizes.countedTokens(candidate.tokens(), prompt.promptTokens()), targetMs, nowMs))
			.findFirst();
		home.ifPresent((found) -> sizes.onPlaced(prompt.promptTokens()));
		return home.map((found) -> placeAt(found, decodeEngines, targetMs, nowMs));
	}

	// All gateways use the same first home for a part, so it is probably cached there.
	private static int tokensToPrefill(PromptShape prompt, TrackedServer engine, int rank) {
		int tokens = engine.uncachedTokens(prompt);
		return (rank == 0)
				? (int) Math.min(tokens, prompt.promptTokens() - HOME_CACHE_HIT_SHARE * prompt.sharedTokens()) : tokens;
	}

	private Placement placeAt(Home home, List<TrackedServer> decodeEngines, long targetMs, long nowMs) {
		return home.engine().isPrefill()
				? new Placement.Split(home.engine(), selectDecodeEngine(home.engine(),
						withSoftwareOf(home.engine(), decodeEngines), targetMs, nowMs), home.tokens())
				: new Placement.SingleServer(home.engine(), home.tokens());
	}

	// Prefers the data centre of the source: transfers between data centres take longer
	// and cost more.
	private TrackedServer selectDecodeEngine(TrackedServer source, List<TrackedServer> decodeEngines, long targetMs,
			long nowMs) {
		Set<TrackedServer> reserved = reserved(decodeEngines, nowMs).select(decodeEngines, nowMs);
		String dataCentre = source.server().dataCentre();
		return decodeEngines.stream()
			.min(Comparator
				.<TrackedServer, Boolean>comparing((engine) -> !engine.server().dataCentre().equals(dataCentre))
				.thenComparing(reserved::contains)
				.thenComparing((engine) -> engine.window().isStalled(targetMs, nowMs))
				.thenComparingInt((engine) -> engine.waiting(nowMs, MAX_WAITING_AGE_MS))
				.thenComparingInt((engine) -> engine.occupancy(nowMs, MAX_RUNNING_AGE_MS))
				.thenComparingDouble((engine) -> engine.window().pendingTokens()))
			.orElseThrow();
	}

	// Takes the least loaded of a few engines with fresh load reports. Without such
	// reports, any of these engines may have been filled by other gateways, so the
	// request
	// goes to a pseudo-random one. If they are full, it goes to the next engine in order.
	private TrackedServer placeShortPrompt(PromptShape prompt, List<TrackedServer> decodeEngines, long targetMs,
			long nowMs) {
		ReservedEngines reserved = reserved(decodeEngines, nowMs);
		List<TrackedServer> compared = reserved.compared(decodeEngines, spreadKey(prompt));
		reserved.onPlaced(compared, decodeEngines.size(), nowMs);
		Comparator<TrackedServer> byLoad = Comparator.comparingDouble((engine) -> engine.generationLoad(nowMs));
		return ReservedEngines.fresh(compared, nowMs)
			.filter((engine) -> hasCapacity(engine, prompt, targetMs, nowMs))
			.min(byLoad)
			.or(() -> compared.stream().filter((engine) -> hasCapacity(engine, prompt, targetMs, nowMs)).findFirst())
			.or(() -> ReservedEngines.inOrder(decodeEngines)
				.stream()
				.filter((engine) -> hasCapacity(engine, prompt, targetMs, nowMs))
				.findFirst())
			.or(() -> decodeEngines.stream().min(byLoad))
			.orElseThrow();
	}

	private static boolean hasCapacity(TrackedServer engine, PromptShape prompt, long targetMs, long nowMs) {
		return engine.window().fits(engine.uncachedTokens(prompt), targetMs, nowMs) && engine.generationLoad(nowMs) < 1;
	}

	private record Home(TrackedServer engine, int tokens) {

	}

	private record Kind(String service, String route) {

	}

}
