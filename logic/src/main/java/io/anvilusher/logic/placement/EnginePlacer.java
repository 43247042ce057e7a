package io.anvilusher.logic.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.anvilusher.model.request.PromptPart;
import io.anvilusher.model.request.PromptShape;

/**
 * Places requests on model engines. Load pattern: long prompts whose shared parts exceed
 * the cache of one engine, in bursts, beside short prompts that are worth several times
 * as much and need their first token soon.
 * <p>
 * A long prompt goes to the engine that its last shared part hashes to, so that this part
 * is read by one engine only; when that engine has its window full, to the next one in
 * the part's order. When no generating engine has room, an engine of the prefill role
 * reads it and a generating engine fetches the KV cache. A short prompt goes to the
 * generating engine with the least unread tokens.
 */
public final class EnginePlacer {

	/** Shared tokens from which a prompt is worth a home. Source: some ms of reading. */
	static final int MIN_AFFINITY_TOKENS = 1_024;

	/** Engines that may become a second home of a part. Source: bounded-load hashing. */
	static final int HOME_CANDIDATES = 3;

	/** Age up to which a load report counts, in ms. Source: a batch of long prompts. */
	static final long REPORT_AGE_MS = 250;

	/**
	 * Places a request.
	 * @param prompt the prompt
	 * @param engines the engines of the service that may be used
	 * @param avoided engines that this request was sent to before
	 * @param nowMs the time
	 * @return the placement
	 */
	public Placement place(PromptShape prompt, List<ServerTrack> engines, Set<String> avoided, long nowMs) {
		List<ServerTrack> decode = usable(engines.stream().filter((engine) -> !engine.isPrefill()).toList(), avoided,
				nowMs);
		if (decode.isEmpty()) {
			return new Placement.Nowhere();
		}
		if (prompt.sharedTokens() < MIN_AFFINITY_TOKENS) {
			ServerTrack engine = leastLoaded(decode, nowMs);
			return new Placement.Whole(engine, engine.uncachedTokens(prompt));
		}
		Optional<Placement> home = atHome(prompt, decode);
		if (home.isPresent()) {
			return home.get();
		}
		List<ServerTrack> prefill = usable(engines.stream().filter(ServerTrack::isPrefill).toList(), avoided, nowMs);
		return split(prompt, prefill, decode, nowMs).orElseGet(Placement.Full::new);
	}

	private static List<ServerTrack> usable(List<ServerTrack> engines, Set<String> avoided, long nowMs) {
		List<ServerTrack> fresh = engines.stream().filter((engine) -> !avoided.contains(engine.server().id())).toList();
		List<ServerTrack> sound = fresh.stream().filter((engine) -> !engine.health().isDoubtful(nowMs)).toList();
		return sound.isEmpty() ? fresh : sound;
	}

	private static Optional<Placement> atHome(PromptShape prompt, List<ServerTrack> decode) {
		return ranked(prompt, decode).stream()
			.limit(HOME_CANDIDATES)
			.filter((engine) -> engine.window().fits(engine.uncachedTokens(prompt)))
			.findFirst()
			.map((engine) -> new Placement.Whole(engine, engine.uncachedTokens(prompt)));
	}

	private static Optional<Placement> split(PromptShape prompt, List<ServerTrack> prefill, List<ServerTrack> decode,
			long nowMs) {
		return ranked(prompt, prefill).stream()
			.filter((engine) -> engine.window().fits(engine.uncachedTokens(prompt)))
			.findFirst()
			.map((engine) -> new Placement.Split(engine, leastLoaded(sameDataCentre(engine, decode), nowMs),
					engine.uncachedTokens(prompt)));
	}

	// A transfer between data centres takes longer and costs more.
	private static List<ServerTrack> sameDataCentre(ServerTrack source, List<ServerTrack> decode) {
		List<ServerTrack> near = decode.stream()
			.filter((engine) -> engine.server().dataCentre().equals(source.server().dataCentre()))
			.toList();
		return near.isEmpty() ? decode : near;
	}

	private static List<ServerTrack> ranked(PromptShape prompt, List<ServerTrack> engines) {
		List<PromptPart> shared = prompt.sharedParts();
		String key = shared.get(shared.size() - 1).id();
		return engines.stream()
			.sorted(Comparator.comparingLong((engine) -> -(Rendezvous.weight(engine.server().id(), key) >> 1)))
			.toList();
	}

	private static ServerTrack leastLoaded(List<ServerTrack> engines, long nowMs) {
		return engines.stream()
			.min(Comparator.<ServerTrack>comparingInt((engine) -> engine.waiting(nowMs, REPORT_AGE_MS))
				.thenComparingDouble((engine) -> engine.window().pendingTokens() + 100.0 * engine.inFlight()))
			.orElseThrow();
	}

}
