package io.anvilusher.logic.role;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import io.anvilusher.model.fleet.EngineRole;

/**
 * Decides which engines of a service have the prefill role and which the decode role. It
 * is designed for bursts of long prompts with short responses that exceed the prefill
 * capacity of the fleet, while part of the decode engines, which prefill at half the
 * speed, suffices for the requests with long responses. An engine is unavailable for
 * seconds while it changes its role, so decode engines become prefill engines only before
 * the first load. If decode slots get scarce later, engines that were changed by an order
 * return to the decode role, one at a time.
 * <p>
 * An order may be carried out late, or its result may not be reported yet. Engines that
 * might still leave the decode role therefore do not count as decode engines. No order
 * takes the last sure decode engine of a data centre, or lets the service fall below
 * {@link #MIN_DECODE_SHARE}; if crashes or late orders do, engines return to the decode
 * role whatever the load. Confined to one thread.
 */
public final class RolePlanner {

	/**
	 * Number of decode slots per engine of the service, whatever its role, that are kept
	 * before the first load: the batch size of an engine in the expected workloads.
	 */
	static final int INITIAL_SLOTS_PER_ENGINE = 9;

	/**
	 * Smallest share of the engines of a service that have the decode role. No request
	 * can be served without one, and each of them may crash.
	 */
	static final double MIN_DECODE_SHARE = 1.0 / 3;

	/**
	 * Smallest number of engines of each software version that have the decode role, as
	 * far as it has so many, while a service has several versions. A stream can go on
	 * only at a decode engine of its version, also after one of them has crashed.
	 */
	static final int MIN_DECODE_ENGINES_OF_VERSION = 2;

	/**
	 * More decode engines are needed if the peak load exceeds this share of their slots.
	 * It is the share up to which short prompts fill an engine before the next one is
	 * used.
	 */
	static final double MAX_DECODE_UTILIZATION = 0.75;

	/**
	 * Share of the engines that may change their role at once before the first load.
	 */
	static final double MAX_INITIAL_CHANGE_SHARE = 0.25;

	/**
	 * Length of the window for the peak load, which is a load wave of the expected
	 * workloads. The peaks of the current and the previous window count.
	 */
	static final long PEAK_WINDOW_MS = 12_000;

	private long peakWindowStartMs;

	private int peakRequests;

	private int previousPeakRequests;

	private boolean loadSeen;

	/**
	 * Records the current load and plans role changes.
	 * @param engines newest reports of the engines that accept requests
	 * @param nowMs current time of the monotonic clock
	 * @return the role changes to order now, possibly none
	 */
	public List<RoleChange> plan(List<EngineState> engines, long nowMs) {
		observe(engines, nowMs);
		List<RoleChange> forVersions = changesForVersions(engines);
		if (!forVersions.isEmpty()) {
			return forVersions;
		}
		int decode = (int) engines.stream().filter(EngineState::isSureToDecode).count();
		int floor = minDecodeEngines(engines);
		if (decode < floor) {
			return selectChanges(engines, EngineRole.DECODE, floor - decode - changingTo(engines, EngineRole.DECODE));
		}
		if (this.loadSeen) {
			int missing = decodeEnginesUnderLoad(engines) - decode;
			return selectChanges(engines.stream().filter(EngineState::changedByOrder).toList(), EngineRole.DECODE,
					Math.min(missing, 1 - changing(engines)));
		}
		if (decode == engines.size()) {
			return List.of();
		}
		int maxChanging = (int) Math.ceil(MAX_INITIAL_CHANGE_SHARE * engines.size());
		int spare = decode - Math.max(decodeEnginesBeforeLoad(engines), floor);
		return selectChanges(spareDecodeEngines(engines), EngineRole.PREFILL,
				Math.min(spare, maxChanging - changing(engines)));
	}

	private void observe(List<EngineState> engines, long nowMs) {
		this.loadSeen |= engines.stream().anyMatch((engine) -> engine.requests() > 0);
		if (nowMs - this.peakWindowStartMs >= PEAK_WINDOW_MS) {
			this.previousPeakRequests = this.peakRequests;
			this.peakRequests = 0;
			this.peakWindowStartMs = nowMs;
		}
		this.peakRequests = Math.max(this.peakRequests, decodeEngines(engines).mapToInt(EngineState::requests).sum());
	}

	private static List<RoleChange> changesForVersions(List<EngineState> engines) {
		Collection<List<EngineState>> versions = engines.stream()
			.collect(Collectors.groupingBy(EngineState::softwareVersion))
			.values();
		return (versions.size() < 2) ? List.of()
				: versions.stream().flatMap((version) -> changesForVersion(version).stream()).toList();
	}

	private static List<RoleChange> changesForVersion(List<EngineState> engines) {
		int decode = (int) engines.stream().filter(EngineState::isSureToDecode).count();
		int floor = Math.min(MIN_DECODE_ENGINES_OF_VERSION, engines.size());
		return selectChanges(engines, EngineRole.DECODE, floor - decode - changingTo(engines, EngineRole.DECODE));
	}

	private static Stream<EngineState> decodeEngines(List<EngineState> engines) {
		return engines.stream().filter((engine) -> engine.role() == EngineRole.DECODE);
	}

	private static int changing(List<EngineState> engines) {
		return (int) engines.stream().filter(EngineState::changing).count();
	}

	private static int changingTo(List<EngineState> engines, EngineRole role) {
		return (int) engines.stream().filter((engine) -> engine.pendingRole().equals(Optional.of(role))).count();
	}

	private static int minDecodeEngines(List<EngineState> engines) {
		return (int) Math.ceil(MIN_DECODE_SHARE * engines.size());
	}

	// All sure decode engines but one of each data centre.
	private static List<EngineState> spareDecodeEngines(List<EngineState> engines) {
		return engines.stream()
			.filter(EngineState::isSureToDecode)
			.sorted(Comparator.comparingInt(EngineState::requests).thenComparing(EngineState::id))
			.collect(Collectors.groupingBy(EngineState::dataCentre))
			.values()
			.stream()
			.flatMap((sameDataCentre) -> sameDataCentre.subList(0, sameDataCentre.size() - 1).stream())
			.toList();
	}

	private static double meanSlots(List<EngineState> engines) {
		return engines.stream().mapToInt(EngineState::slots).average().orElse(1);
	}

	private static int decodeEnginesBeforeLoad(List<EngineState> engines) {
		return (int) Math.ceil(INITIAL_SLOTS_PER_ENGINE * engines.size() / meanSlots(engines));
	}

	private int decodeEnginesUnderLoad(List<EngineState> engines) {
		return (int) Math.ceil(
				Math.max(this.peakRequests, this.previousPeakRequests) / (MAX_DECODE_UTILIZATION * meanSlots(engines)));
	}

	// Takes engines from the data centre with the most engines to choose from, so that
	// each data centre keeps some of both roles; within a data centre the least loaded
	// engine comes first.
	private static List<RoleChange> selectChanges(List<EngineState> engines, EngineRole role, int count) {
		Map<String, List<EngineState>> byDataCentre = engines.stream()
			.filter((engine) -> engine.role() != role)
			.sorted(Comparator.comparingInt(EngineState::requests).thenComparing(EngineState::id))
			.collect(Collectors.groupingBy(EngineState::dataCentre));
		return byDataCentre.values()
			.stream()
			.flatMap((sameDataCentre) -> IntStream.range(0, sameDataCentre.size())
				.mapToObj((index) -> new Candidate(sameDataCentre.get(index), sameDataCentre.size() - index)))
			.filter((candidate) -> !candidate.engine().changing())
			.sorted(Comparator.comparingInt((Candidate candidate) -> -candidate.enginesRemaining())
				.thenComparingInt((candidate) -> candidate.engine().requests())
				.thenComparing((candidate) -> candidate.engine().id()))
			.limit(Math.max(0, count))
			.map((candidate) -> new RoleChange(candidate.engine().id(), role))
			.toList();
	}

	private record Candidate(EngineState engine, int enginesRemaining) {

	}

}
