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
 * long answers. An engine that changes its role is away for seconds, so engines change
 * one at a time under load, and several together only while nothing runs. Used from one
 * thread.
 */
public final class RolePlanner {

	/**
	 * Slots for generation that are kept for each engine of the service before any load
	 * was seen. Source: batch of an engine of the brief.
	 */
	static final int INITIAL_SLOTS_PER_ENGINE = 16;

	/**
	 * Part of the slots of generating engines that are filled at the highest load seen.
	 * Source: load doubles in a burst.
	 */
	static final double FILL_SHARE = 0.5;

	/**
	 * Part of the slots from which generating engines are missing. Source: the part up to
	 * which short prompts are packed.
	 */
	static final double SCARCE_SHARE = 0.75;

	/** Least part of the engines that keep on reading prompts only. */
	static final double MIN_PREFILL_SHARE = 0.25;

	/** Part of the engines that may change together while nothing runs. */
	static final double IDLE_CHANGE_SHARE = 0.25;

	/** Time for which the highest load counts, in ms. Source: a wave of the brief. */
	static final long PEAK_MS = 12_000;

	/** Time of observation before an engine is taken from generation, in ms. */
	static final long OBSERVE_MS = 6_000;

	/**
	 * Requests from which an engine is not taken from generation: it finishes them first.
	 */
	static final int MAX_REQUESTS = 4;

	private long peakSinceMs;

	private int peakRequests;

	private int earlierPeakRequests;

	private long startedAtMs = Long.MIN_VALUE;

	/**
	 * Notes the load and decides.
	 * @param engines engines that take requests, with what they said lately
	 * @param nowMs the time
	 * @return the changes to order now; empty for none
	 */
	public List<RoleChange> plan(List<EngineState> engines, long nowMs) {
		observe(engines, nowMs);
		int allowed = allowedChanges(engines);
		int prefill = count(engines, EngineRole.PREFILL);
		int decode = engines.size() - prefill;
		if (allowed <= 0 || decode == 0 || prefill == 0) {
			return List.of();
		}
		int missing = needed(engines, SCARCE_SHARE) - decode;
		if (missing > 0) {
			int least = (int) Math.ceil(MIN_PREFILL_SHARE * engines.size());
			return change(engines, EngineRole.DECODE, Math.min(Math.min(missing, allowed), prefill - least));
		}
		boolean loadSeen = this.startedAtMs != Long.MIN_VALUE;
		boolean observed = loadSeen ? !isIdle(engines) && nowMs - this.startedAtMs >= OBSERVE_MS : true;
		int spare = decode - Math.max(needed(engines, FILL_SHARE), dataCentres(engines));
		return (observed && spare > 0) ? change(engines, EngineRole.PREFILL, Math.min(spare, allowed)) : List.of();
	}

	private void observe(List<EngineState> engines, long nowMs) {
		if (this.startedAtMs == Long.MIN_VALUE && !isIdle(engines)) {
			this.startedAtMs = nowMs;
		}
		if (nowMs - this.peakSinceMs >= PEAK_MS) {
			this.earlierPeakRequests = this.peakRequests;
			this.peakRequests = 0;
			this.peakSinceMs = nowMs;
		}
		this.peakRequests = Math.max(this.peakRequests, generating(engines).mapToInt(EngineState::requests).sum());
	}

	private static boolean isIdle(List<EngineState> engines) {
		return engines.stream().allMatch((engine) -> engine.requests() == 0);
	}

	private static Stream<EngineState> generating(List<EngineState> engines) {
		return engines.stream().filter((engine) -> engine.role() == EngineRole.DECODE);
	}

	private static int allowedChanges(List<EngineState> engines) {
		int together = isIdle(engines) ? (int) Math.ceil(IDLE_CHANGE_SHARE * engines.size()) : 1;
		return together - (int) engines.stream().filter(EngineState::changing).count();
	}

	private static int count(List<EngineState> engines, EngineRole role) {
		return (int) engines.stream().filter((engine) -> engine.role() == role).count();
	}

	private static int dataCentres(List<EngineState> engines) {
		return (int) engines.stream().map(EngineState::dataCentre).distinct().count();
	}

	private int needed(List<EngineState> engines, double fillShare) {
		double slots = engines.stream().mapToInt(EngineState::slots).average().orElse(1);
		int peak = Math.max(this.peakRequests, this.earlierPeakRequests);
		if (this.startedAtMs == Long.MIN_VALUE) {
			return (int) Math.ceil(INITIAL_SLOTS_PER_ENGINE * engines.size() / slots);
		}
		return (int) Math.ceil(peak / (fillShare * slots));
	}

	// Engines leave a role where it has most of them, so that each data centre keeps some
	// of
	// both; in a data centre the least busy one goes first.
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
			.filter((candidate) -> role == EngineRole.DECODE || candidate.engine().requests() < MAX_REQUESTS)
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
