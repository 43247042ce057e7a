package io.anvilusher.logic.placement;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import io.anvilusher.logic.routing.Rendezvous;

/**
 * The decode engines of a service that are kept free of long prompts for the sake of
 * short prompts with long responses. A long response occupies a slot for seconds, and the
 * prefill of long prompts on the same engine makes its pauses too long. All gateways take
 * the engines in the same order, and the number of engines follows the load that their
 * reports show, so that gateways agree without communication. Confined to one thread.
 */
public final class ReservedEngines {

	/** Share of the decode engines that is reserved before any load is known. */
	static final double INITIAL_SHARE = 0.15;

	/** Largest share of the decode engines that is reserved. */
	static final double MAX_SHARE = 0.5;

	/** Load of the reserved engines, as a share of what they may run, to aim for. */
	static final double TARGET_LOAD = 0.6;

	/**
	 * Loads above this count as this: a queue at one engine does not show how many more
	 * engines are needed.
	 */
	static final double MAX_LOAD = 1.5;

	/** Weight of the newest load in the moving average of the size. */
	static final double SIZE_WEIGHT = 0.2;

	/**
	 * Time after the last short prompt until no engine is reserved any more; several
	 * times the interval between two of them at a single gateway of many.
	 */
	static final long UNUSED_MS = 20_000;

	/** Age up to which a load report shows the spare slots of an engine. */
	static final long FRESH_REPORT_AGE_MS = 300;

	/**
	 * Number of engines whose load is compared. With two or three, the least loaded one
	 * almost always has a spare slot.
	 */
	static final int COMPARED_ENGINES = 3;

	private double share = INITIAL_SHARE;

	private long lastUsedMs;

	/**
	 * Creates the reservation of a service.
	 * @param nowMs current time of the monotonic clock
	 */
	public ReservedEngines(long nowMs) {
		this.lastUsedMs = nowMs;
	}

	/**
	 * Returns all decode engines in the order in which short prompts use them.
	 * @param decodeEngines engines with the decode role
	 * @return the engines, in the same order on all gateways
	 */
	public static List<TrackedServer> inOrder(List<TrackedServer> decodeEngines) {
		return Rendezvous.sortByRank(decodeEngines,
				(engine) -> Rendezvous.rank(engine.server().id(), engine.server().service(), 1));
	}

	/**
	 * Selects the reserved engines.
	 * @param decodeEngines engines with the decode role
	 * @param nowMs current time of the monotonic clock
	 * @return the engines; empty if there was no short prompt for a while
	 */
	public Set<TrackedServer> select(List<TrackedServer> decodeEngines, long nowMs) {
		if (nowMs - this.lastUsedMs > UNUSED_MS) {
			return Set.of();
		}
		return inOrder(decodeEngines).stream()
			.limit(Math.round(this.share * decodeEngines.size()))
			.collect(Collectors.toSet());
	}

	/**
	 * Selects the engines whose load should be known before a short prompt is placed.
	 * @param decodeEngines engines with the decode role
	 * @param spreadKey key by which gateways and requests select different engines
	 * @return some of the reserved engines, or the first engine if none is reserved
	 */
	public List<TrackedServer> compared(List<TrackedServer> decodeEngines, String spreadKey) {
		List<TrackedServer> first = inOrder(decodeEngines).stream()
			.limit(Math.max(1, Math.round(this.share * decodeEngines.size())))
			.toList();
		return Rendezvous.sortByRank(first, (engine) -> Rendezvous.rank(engine.server().id(), spreadKey, 1))
			.stream()
			.limit(COMPARED_ENGINES)
			.toList();
	}

	/**
	 * Adapts the number of reserved engines to their load when a short prompt is placed.
	 * No engine is reserved while a part of one suffices.
	 * @param compared engines whose load was compared
	 * @param decodeEngines number of engines with the decode role
	 * @param nowMs current time of the monotonic clock
	 */
	public void onPlaced(List<TrackedServer> compared, int decodeEngines, long nowMs) {
		this.lastUsedMs = nowMs;
		fresh(compared, nowMs).mapToDouble((engine) -> engine.generationLoad(nowMs)).average().ifPresent((load) -> {
			double loaded = Math.max(this.share, 1.0 / decodeEngines);
			double needed = loaded * Math.min(load, MAX_LOAD) / TARGET_LOAD;
			this.share += SIZE_WEIGHT * (Math.min(MAX_SHARE, needed) - this.share);
		});
	}

	static Stream<TrackedServer> fresh(List<TrackedServer> engines, long nowMs) {
		return engines.stream().filter((engine) -> engine.reportAgeMs(nowMs) <= FRESH_REPORT_AGE_MS);
	}

}
