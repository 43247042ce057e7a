package io.anvilusher.logic.role;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import io.anvilusher.model.fleet.EngineRole;

/**
 * Decides which engines of a service read prompts only and which generate. Load pattern:
 * bursts of long prompts with short answers that ask for more reading than the fleet has,
 * while a part of the generating engines, which read at half the speed, is enough for the
 * long answers. An engine that changes its role is away for seconds, so engines are taken
 * from generation only before any load was seen. If slots get scarce later, engines that
 * were taken go back, one at a time. Used from one thread.
 */
public final class RolePlanner {

	/**
	 * Slots for generation that are kept for each engine of the service before any load
	 * was seen. Source: batch of an engine of the brief.
	 */
	static final int INITIAL_SLOTS_PER_ENGINE = 9;

	/**
	 * Part of the slots from which generating engines are missing. Source: the part up to
	 * which short prompts are packed.
	 */
	static final double SCARCE_SHARE = 0.75;

	/** Part of the engines that may change together before any load was seen. */
	static final double INITIAL_CHANGE_SHARE = 0.25;

	/** Time for which the highest load counts, in ms. Source: a wave of the brief. */
	static final long PEAK_MS = 12_000;

	private long peakSinceMs;

	private int peakRequests;

	private int earlierPeakRequests;

	private boolean loadSeen;

	/**
	 * Notes the load and decides.
	 * @param engines engines that take requests, with what they said lately
	 * @param nowMs the time
	 * @return the changes to order now; empty for none
	 */
	public List<RoleChange> plan(List<EngineState> engines, long nowMs) {
		observe(engines, nowMs);
		int decode = (int) generating(engines).count();
		if (this.loadSeen) {
			int missing = neededUnderLoad(engines) - decode;
			return change(engines.stream().filter(EngineState::ordered).toList(), EngineRole.DECODE,
					Math.min(missing, 1 - changing(engines)));
		}
		if (decode == engines.size()) {
			return List.of();
		}
		int together = (int) Math.ceil(INITIAL_CHANGE_SHARE * engines.size());
		int spare = decode - Math.max(neededBeforeLoad(engines), dataCentres(engines));
		return change(engines, EngineRole.PREFILL, Math.min(spare, together - changing(engines)));
	}

	private void observe(List<EngineState> engines, long nowMs) {
		this.loadSeen |= engines.stream().anyMatch((engine) -> engine.requests() > 0);
		if (nowMs - this.peakSinceMs >= PEAK_MS) {
			this.earlierPeakRequests = this.peakRequests;
			this.peakRequests = 0;
			this.peakSinceMs = nowMs;
		}
		this.peakRequests = Math.max(this.peakRequests, generating(engines).mapToInt(EngineState::requests).sum());
	}

	private static Stream<EngineState> generating(List<EngineState> engines) {
		return engines.stream().filter((engine) -> engine.role() == EngineRole.DECODE);
	}

	private static int changing(List<EngineState> engines) {
		return (int) engines.stream().filter(EngineState::changing).count();
	}

	private static int dataCentres(List<EngineState> engines) {
		return (int) engines.stream().map(EngineState::dataCentre).distinct().count();
	}

	private static double slots(List<EngineState> engines) {
		return engines.stream().mapToInt(EngineState::slots).average().orElse(1);
	}

	private static int neededBeforeLoad(List<EngineState> engines) {
		return (int) Math.ceil(INITIAL_SLOTS_PER_ENGINE * engines.size() / slots(engines));
	}

	private int neededUnderLoad(List<EngineState> engines) {
		return (int) Math.ceil(Math.max(this.peakRequests, this.earlierPeakRequests) / (SCARCE_SHARE * slots(engines)));
	}

	// Engines leave a role where it has most of them, so that each data centre keeps
	// some of both; in a data centre the least busy one goes first.
	private static List<RoleChange> change(List<EngineState> engines, EngineRole role, int count) {
		Map<String, List<EngineState>> byDataCentre = engines.stream()
			.filter((engine) -> engine.role() != role)
			.sorted(Comparator.comparingInt(EngineState::requests).thenComparing(EngineState::id))
			.collect(Collectors.groupingBy(EngineState::dataCentre));
		return byDataCentre.values()
			.stream()
			.flatMap((peers) -> IntStream.range(0, peers.size())
				.mapToObj((index) -> new Candidate(peers.get(index), peers.size() - index)))
			.filter((candidate) -> !candidate.engine().changing())
			.sorted(Comparator.comparingInt((Candidate candidate) -> -candidate.peersLeft())
				.thenComparingInt((candidate) -> candidate.engine().requests())
				.thenComparing((candidate) -> candidate.engine().id()))
			.limit(Math.max(0, count))
			.map((candidate) -> new RoleChange(candidate.engine().id(), role))
			.toList();
	}

	private record Candidate(EngineState engine, int peersLeft) {

	}

}
