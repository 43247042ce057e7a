package io.anvilusher.logic.allowance;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Chooses the allocator to which this gateway reports: of the candidates that answer, the
 * one with the most members, then the one that ranks first. A gateway stays with its
 * allocator while that answers, so that a gateway that joins does not move the others.
 * Confined to one thread.
 */
final class AllocatorChoice {

	/** Time without an answer after which the allocator counts as lost. */
	private static final long ANSWER_TIMEOUT_MS = 750;

	/** Time for the answers of all candidates, about ten round trips. */
	private static final long DISCOVERY_MS = 100;

	private static final long PROBE_INTERVAL_MS = 200;

	/** Sizes of groups change while gateways move; a gateway does not follow each. */
	private static final long MIN_STAY_MS = 1_000;

	private GatewayRanking ranking = GatewayRanking.EMPTY;

	private Optional<String> current = Optional.empty();

	private int currentMembers;

	private long lastAnswerMs;

	private long chosenMs;

	private long discoveryEndMs = Long.MAX_VALUE;

	private final Map<String, Integer> answered = new HashMap<>();

	private long lastProbeMs;

	private int nextProbe;

	void setRanking(GatewayRanking newRanking, long nowMs) {
		boolean first = this.ranking.candidates().isEmpty();
		this.ranking = newRanking;
		if (first && !newRanking.candidates().isEmpty()) {
			startDiscovery(nowMs);
		}
	}

	Optional<String> current() {
		return this.current;
	}

	/**
	 * Returns the candidates to be asked for the size of their group now, and gives up an
	 * allocator that does not answer.
	 * @param nowMs current time of the monotonic clock
	 * @return the names of the gateways
	 */
	List<String> dueProbes(long nowMs) {
		if (this.ranking.candidates().isEmpty()) {
			return List.of();
		}
		if (this.current.isPresent() && nowMs - this.lastAnswerMs > ANSWER_TIMEOUT_MS) {
			this.current = Optional.empty();
			startDiscovery(nowMs);
		}
		if (this.current.isEmpty()) {
			return discover(nowMs);
		}
		if (nowMs - this.lastProbeMs < PROBE_INTERVAL_MS) {
			return List.of();
		}
		this.lastProbeMs = nowMs;
		this.nextProbe++;
		String candidate = this.ranking.candidates().get(this.nextProbe % this.ranking.candidates().size());
		return this.current.get().equals(candidate) ? List.of() : List.of(candidate);
	}

	private List<String> discover(long nowMs) {
		if (nowMs >= this.discoveryEndMs) {
			Optional<String> best = this.ranking.candidates()
				.stream()
				.filter(this.answered::containsKey)
				.max(Comparator.<String>comparingInt(this.answered::get)
					.thenComparing((name) -> -this.ranking.candidates().indexOf(name)));
			if (best.isPresent()) {
				choose(best.get(), this.answered.get(best.get()), nowMs);
				return List.of();
			}
			startDiscovery(nowMs);
		}
		if (nowMs - this.lastProbeMs < LocalAllowance.URGENT_INTERVAL_MS) {
			return List.of();
		}
		this.lastProbeMs = nowMs;
		return this.ranking.candidates();
	}

	private void startDiscovery(long nowMs) {
		this.discoveryEndMs = nowMs + DISCOVERY_MS;
		this.lastProbeMs = nowMs - PROBE_INTERVAL_MS;
		this.answered.clear();
	}

	private void choose(String gateway, int members, long nowMs) {
		this.current = Optional.of(gateway);
		this.currentMembers = members;
		this.lastAnswerMs = nowMs;
		this.chosenMs = nowMs;
	}

	/**
	 * Takes in that a candidate answered.
	 * @param gateway name of the candidate
	 * @param members number of gateways in its group
	 * @param nowMs current time of the monotonic clock
	 */
	void onAnswer(String gateway, int members, long nowMs) {
		if (this.current.isEmpty()) {
			this.answered.put(gateway, members);
		}
		else if (this.current.get().equals(gateway)) {
			this.currentMembers = members;
			this.lastAnswerMs = nowMs;
		}
		else if (nowMs - this.chosenMs >= MIN_STAY_MS && isBetter(gateway, members)) {
			choose(gateway, members, nowMs);
		}
	}

	private boolean isBetter(String gateway, int members) {
		List<String> candidates = this.ranking.candidates();
		int rank = candidates.indexOf(gateway);
		int currentRank = this.current.map(candidates::indexOf).orElse(-1);
		boolean ranksBefore = rank >= 0 && (currentRank < 0 || rank < currentRank);
		return rank >= 0 && (members > this.currentMembers || (members == this.currentMembers && ranksBefore));
	}

}
