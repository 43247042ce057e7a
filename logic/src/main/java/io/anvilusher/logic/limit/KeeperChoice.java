package io.anvilusher.logic.limit;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Chooses the keeper that this gateway supports: the first candidate that answers. The
 * gateway stays with it while it answers and has a majority, and supports it for some
 * time after the last wish.
 */
final class KeeperChoice {

	/** Time without an answer after which the keeper counts as lost. */
	private static final long ANSWER_TIMEOUT_MS = 750;

	/** Time for which a lost candidate is asked after the others. */
	private static final long LOST_MS = 3_000;

	/** Time for which a candidate without a majority is not visited again. */
	private static final long WEAK_MS = 60_000;

	/**
	 * Time for which gateways wait for others to support the first candidate, before they
	 * visit another one.
	 */
	private static final long FIRST_PATIENCE_MS = 6_000;

	private static final long PATIENCE_MS = 2_000;

	private static final long NEVER_MS = Long.MIN_VALUE / 2;

	private final Map<String, Long> lostMs = new HashMap<>();

	private final Map<String, Long> weakMs = new HashMap<>();

	private KeeperRanking ranking;

	private String current;

	private Optional<String> supported = Optional.empty();

	private long lastSentMs = NEVER_MS;

	private long unansweredSinceMs = Long.MAX_VALUE;

	private long minoritySinceMs = Long.MAX_VALUE;

	KeeperChoice(KeeperRanking ranking) {
		this.ranking = ranking;
		this.current = ranking.candidates().get(0);
	}

	/**
	 * Sets the candidates. A keeper that is none of them is given up, so that all
	 * gateways move to the same one.
	 * @param newRanking the ranking
	 * @param nowMs current time of the monotonic clock
	 */
	void setRanking(KeeperRanking newRanking, long nowMs) {
		this.ranking = newRanking;
		if (!newRanking.candidates().contains(this.current)) {
			choose(first(nowMs));
		}
	}

	/**
	 * Returns the keeper to which a wish may be sent now.
	 * @param nowMs current time of the monotonic clock
	 * @return the name of the gateway; empty while a former one is still supported
	 */
	Optional<String> target(long nowMs) {
		if (nowMs - this.unansweredSinceMs >= ANSWER_TIMEOUT_MS && this.unansweredSinceMs != Long.MAX_VALUE) {
			this.lostMs.values().removeIf((atMs) -> nowMs - atMs >= LOST_MS);
			this.lostMs.put(this.current, nowMs);
			choose(first(nowMs));
		}
		boolean free = nowMs - this.lastSentMs >= PermitHolder.SUPPORT_MS
				|| this.supported.equals(Optional.of(this.current));
		return free ? Optional.of(this.current) : Optional.empty();
	}

	private void choose(String gateway) {
		this.current = gateway;
		this.unansweredSinceMs = Long.MAX_VALUE;
		this.minoritySinceMs = Long.MAX_VALUE;
	}

	// All gateways return to the first candidate after each visit to another one, so that
	// groups of equal size meet there.
	private void leaveMinority(long nowMs) {
		long minorityMs = nowMs - this.minoritySinceMs;
		String first = first(nowMs);
		if (!this.current.equals(first) && minorityMs >= PATIENCE_MS) {
			this.weakMs.values().removeIf((atMs) -> nowMs - atMs >= WEAK_MS);
			this.weakMs.put(this.current, nowMs);
			choose(first);
		}
		else if (minorityMs >= FIRST_PATIENCE_MS) {
			choose(toVisit(nowMs).orElse(first));
		}
	}

	private String first(long nowMs) {
		return this.ranking.candidates()
			.stream()
			.min(Comparator.comparingLong((name) -> recent(this.lostMs, name, LOST_MS, nowMs)))
			.orElseThrow();
	}

	private Optional<String> toVisit(long nowMs) {
		return this.ranking.candidates()
			.stream()
			.filter((name) -> !name.equals(this.current))
			.filter((name) -> recent(this.lostMs, name, LOST_MS, nowMs) == NEVER_MS)
			.filter((name) -> recent(this.weakMs, name, WEAK_MS, nowMs) == NEVER_MS)
			.findFirst();
	}

	private static long recent(Map<String, Long> times, String name, long windowMs, long nowMs) {
		long atMs = times.getOrDefault(name, NEVER_MS);
		return (nowMs - atMs < windowMs) ? atMs : NEVER_MS;
	}

	void onSent(long nowMs) {
		this.supported = Optional.of(this.current);
		this.lastSentMs = nowMs;
		if (this.unansweredSinceMs == Long.MAX_VALUE) {
			this.unansweredSinceMs = nowMs;
		}
	}

	/**
	 * Takes in that a candidate answered.
	 * @param gateway name of the candidate
	 * @param supporters number of gateways that support it
	 * @param nowMs current time of the monotonic clock
	 */
	void onAnswer(String gateway, int supporters, long nowMs) {
		this.lostMs.remove(gateway);
		if (!gateway.equals(this.current)) {
			return;
		}
		this.unansweredSinceMs = Long.MAX_VALUE;
		if (this.ranking.isMajority(supporters)) {
			this.minoritySinceMs = Long.MAX_VALUE;
			this.weakMs.remove(gateway);
		}
		else if (this.minoritySinceMs == Long.MAX_VALUE) {
			this.minoritySinceMs = nowMs;
		}
		else {
			leaveMinority(nowMs);
		}
	}

	/**
	 * Takes in that this gateway was paused, so that it may not have read answers.
	 * @param nowMs current time of the monotonic clock
	 */
	void onPaused(long nowMs) {
		if (!isAnswered()) {
			this.unansweredSinceMs = nowMs;
		}
	}

	boolean isAnswered() {
		return this.unansweredSinceMs == Long.MAX_VALUE;
	}

	/**
	 * Returns when wishes can be sent again.
	 * @param nowMs current time of the monotonic clock
	 * @return the time until the former keeper is no longer supported, in ms
	 */
	long freeInMs(long nowMs) {
		return target(nowMs).isPresent() ? 0 : Math.max(0, this.lastSentMs + PermitHolder.SUPPORT_MS - nowMs);
	}

}
