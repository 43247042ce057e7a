package io.anvilusher.logic.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;

import io.anvilusher.logic.routing.Rendezvous;
import io.anvilusher.model.request.PromptPart;
import io.anvilusher.model.request.PromptShape;

/**
 * Places requests on model engines. Load pattern: long prompts with short answers, whose
 * shared parts exceed the cache of one engine, in bursts; beside them short prompts with
 * long answers, which are worth several times as much and whose tokens must not be held
 * up by the reading of long prompts.
 * <p>
 * A long prompt goes to the engine that its last shared part hashes to, so that one
 * engine only reads this part; when that engine's window is full, to the next one in the
 * part's order. Engines of the prefill role come first more often, since they read
 * faster; a generating engine then fetches the KV cache. Short prompts fill the
 * generating engines in an order that all gateways share, and long prompts stay away from
 * the engines in use for short ones.
 */
public final class EnginePlacer {

	/** Shared tokens from which a prompt is worth a home. Source: some ms of reading. */
	static final int MIN_AFFINITY_TOKENS = 1_024;

	/** Engines that a part may be read by. Source: bounded-load hashing. */
	static final int HOME_CANDIDATES = 3;

	/**
	 * Homes at a prefill engine for each one at a generating engine. Source: relative
	 * reading speed under generation.
	 */
	static final double PREFILL_SHARE = 2;

	/**
	 * Age up to which a count of waiting requests counts, in ms. Source: a batch of long
	 * prompts.
	 */
	static final long WAITING_AGE_MS = 250;

	/**
	 * Age up to which a count of running requests counts, in ms. Source: a long answer.
	 */
	static final long RUNNING_AGE_MS = 8_000;

	/**
	 * Part of an engine's slots that short prompts fill before they use the next engine.
	 */
	static final double FILL_SHARE = 0.75;

	/** Engines that short prompts spread over when little is known. */
	static final int SPREAD_ENGINES = 3;

	/**
	 * Age up to which a report says whether an engine has room, in ms. Source: a part of
	 * a long answer.
	 */
	static final long FRESH_MS = 1_000;

	/**
	 * Running requests from which an engine is in use for short prompts. Source: more
	 * than long prompts leave running.
	 */
	static final int IN_USE_REQUESTS = 4;

	/**
	 * Part of the shared tokens that the first home has read for other gateways. Source:
	 * repeats of a part in the brief's workloads.
	 */
	static final double HOME_HIT_SHARE = 0.8;

	/**
	 * Places a request.
	 * @param prompt the prompt
	 * @param engines the engines of the service that may be used
	 * @param avoided engines that this request was sent to before
	 * @param targetMs objective for the first event
	 * @param nowMs the time
	 * @return the placement
	 */
	public Placement place(PromptShape prompt, List<ServerTrack> engines, Set<String> avoided, long targetMs,
			long nowMs) {
		List<ServerTrack> usable = usable(engines, avoided, nowMs);
		List<ServerTrack> decode = generating(usable);
		if (decode.isEmpty()) {
			return new Placement.Nowhere();
		}
		if (prompt.sharedTokens() < MIN_AFFINITY_TOKENS) {
			ServerTrack engine = forShortPrompt(prompt, decode, targetMs, nowMs);
			return new Placement.Whole(engine, engine.uncachedTokens(prompt));
		}
		List<ServerTrack> quiet = usable.stream()
			.filter((engine) -> engine.isPrefill() || !isInUseForShortPrompts(engine, nowMs))
			.toList();
		return forLongPrompt(prompt, quiet.isEmpty() ? usable : quiet, decode, targetMs, nowMs)
			.orElseGet(Placement.Full::new);
	}

	/**
	 * Finds an engine that fetches a KV cache, after another one did not take it.
	 * @param source the engine that keeps the KV cache
	 * @param engines the engines of the service that may be used
	 * @param avoided engines that this request was sent to before
	 * @param targetMs objective for the first event
	 * @param nowMs the time
	 * @return the engine, or empty if none generates
	 */
	public Optional<ServerTrack> placeFetch(ServerTrack source, List<ServerTrack> engines, Set<String> avoided,
			long targetMs, long nowMs) {
		List<ServerTrack> decode = generating(usable(engines, avoided, nowMs));
		return decode.isEmpty() ? Optional.empty() : Optional.of(forFetch(source, decode, targetMs, nowMs));
	}

	private static List<ServerTrack> usable(List<ServerTrack> engines, Set<String> avoided, long nowMs) {
		List<ServerTrack> fresh = engines.stream().filter((engine) -> !avoided.contains(engine.server().id())).toList();
		List<ServerTrack> sound = fresh.stream().filter((engine) -> !engine.health().isDoubtful(nowMs)).toList();
		return sound.stream().allMatch(ServerTrack::isPrefill) ? fresh : sound;
	}

	private static List<ServerTrack> generating(List<ServerTrack> engines) {
		return engines.stream().filter((engine) -> !engine.isPrefill()).toList();
	}

	private static boolean isInUseForShortPrompts(ServerTrack engine, long nowMs) {
		return engine.occupancy(nowMs, RUNNING_AGE_MS) >= IN_USE_REQUESTS;
	}

	private static Optional<Placement> forLongPrompt(PromptShape prompt, List<ServerTrack> readers,
			List<ServerTrack> decode, long targetMs, long nowMs) {
		List<PromptPart> shared = prompt.sharedParts();
		String key = shared.get(shared.size() - 1).id();
		List<ServerTrack> homes = Rendezvous.order(readers,
				(engine) -> Rendezvous.rank(engine.server().id(), key, engine.isPrefill() ? PREFILL_SHARE : 1));
		return IntStream.range(0, Math.min(HOME_CANDIDATES, homes.size()))
			.mapToObj((rank) -> new Home(homes.get(rank), tokensToRead(prompt, homes.get(rank), rank)))
			.filter((home) -> home.engine().window().fits(home.tokens(), targetMs, nowMs))
			.findFirst()
			.map((home) -> placeAt(home, decode, targetMs, nowMs));
	}

	// Other gateways send the same parts to the same first home, so it likely has them.
	private static int tokensToRead(PromptShape prompt, ServerTrack engine, int rank) {
		int tokens = engine.uncachedTokens(prompt);
		return (rank == 0) ? (int) Math.min(tokens, prompt.promptTokens() - HOME_HIT_SHARE * prompt.sharedTokens())
				: tokens;
	}

	private static Placement placeAt(Home home, List<ServerTrack> decode, long targetMs, long nowMs) {
		return home.engine().isPrefill()
				? new Placement.Split(home.engine(), forFetch(home.engine(), decode, targetMs, nowMs), home.tokens())
				: new Placement.Whole(home.engine(), home.tokens());
	}

	// A transfer between data centres takes longer and costs more.
	private static ServerTrack forFetch(ServerTrack source, List<ServerTrack> decode, long targetMs, long nowMs) {
		List<ServerTrack> near = decode.stream()
			.filter((engine) -> engine.server().dataCentre().equals(source.server().dataCentre()))
			.toList();
		return (near.isEmpty() ? decode : near).stream()
			.min(Comparator.<ServerTrack, Boolean>comparing((engine) -> engine.window().isStalled(targetMs, nowMs))
				.thenComparingInt((engine) -> engine.waiting(nowMs, WAITING_AGE_MS))
				.thenComparingInt((engine) -> engine.occupancy(nowMs, RUNNING_AGE_MS))
				.thenComparingDouble((engine) -> engine.window().pendingTokens()))
			.orElseThrow();
	}

	// All gateways fill the first engine with room. If it was not heard of lately, others
	// may have filled it meanwhile, so gateways then spread over some engines.
	private static ServerTrack forShortPrompt(PromptShape prompt, List<ServerTrack> decode, long targetMs, long nowMs) {
		List<ServerTrack> open = Rendezvous
			.order(decode, (engine) -> Rendezvous.rank(engine.server().id(), engine.server().service(), 1))
			.stream()
			.filter((engine) -> !engine.window().isStalled(targetMs, nowMs))
			.filter((engine) -> engine.occupancy(nowMs, RUNNING_AGE_MS) < FILL_SHARE * engine.server().slots())
			.limit(SPREAD_ENGINES)
			.toList();
		if (open.isEmpty()) {
			return decode.stream()
				.min(Comparator.comparingInt((engine) -> engine.occupancy(nowMs, RUNNING_AGE_MS)))
				.orElseThrow();
		}
		if (open.get(0).reportAgeMs(nowMs) <= FRESH_MS || prompt.parts().isEmpty()) {
			return open.get(0);
		}
		String draw = prompt.parts().get(prompt.parts().size() - 1).id() + nowMs;
		return open.stream()
			.min(Comparator.comparingDouble((engine) -> Rendezvous.rank(engine.server().id(), draw, 1)))
			.orElseThrow();
	}

	private record Home(ServerTrack engine, int tokens) {

	}

}
