package io.anvilusher.logic.suspect;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Finds the subjects (prompt parts and whole requests) that crash servers. The result
 * depends only on the set of reports, not on their order, so all gateways that have read
 * the same reports reach the same verdict.
 * <p>
 * A subject is convicted if it was at several of the newest crashes of a service, at no
 * fewer than any other subject and at half of those since its first. A subject that any
 * server has answered lately is not convicted: the first part of many prompts is at most
 * crashes. A crash at which a convicted subject was counts against no other one.
 */
public final class CrashInquiry {

	/** Age after which a crash is no longer considered. */
	public static final long MAX_CRASH_AGE_MS = 600_000;

	/**
	 * Crashes from which on a subject is convicted if no other one as deep was at as
	 * many.
	 */
	static final int CONVICTING_CRASHES = 3;

	/**
	 * Crashes from which on one of several subjects that were at as many is convicted.
	 */
	static final int CONVICTING_CRASHES_IN_TIE = 4;

	/** Crashes from which on a subject without an answer is a suspect. */
	static final int SUSPICIOUS_CRASHES = 2;

	/** Number of newest crashes of a service that are compared. */
	static final int COMPARED_CRASHES = 8;

	/** Of the crashes since its first, a convicted subject was at one in this number. */
	private static final int MIN_SHARE_DIVISOR = 2;

	private final List<CrashObservation> crashes;

	private final Map<String, Long> convictedUntilMs;

	private final Set<String> answered;

	private final long nowMs;

	private CrashInquiry(Collection<CrashReport> reports, Map<String, Long> convictedUntilMs, long nowMs) {
		this.convictedUntilMs = convictedUntilMs;
		this.nowMs = nowMs;
		this.answered = reports.stream()
			.flatMap((report) -> report.answered().stream())
			.collect(Collectors.toUnmodifiableSet());
		this.crashes = reports.stream()
			.flatMap((report) -> report.crashes().stream())
			.filter((crash) -> Math.abs(nowMs - crash.observedAtMs()) < MAX_CRASH_AGE_MS)
			.collect(Collectors.toMap(CrashObservation::crashId, Function.identity(), CrashObservation::merge,
					TreeMap::new))
			.values()
			.stream()
			.sorted(Comparator.comparingLong(CrashObservation::observedAtMs)
				.thenComparing(CrashObservation::crashId)
				.reversed())
			.toList();
	}

	/**
	 * Decides which subjects are convicted.
	 * @param reports the reports of all gateways
	 * @param convictedUntilMs end of each conviction, in ms since 1970. One crash is
	 * enough to convict a subject again whose conviction has ended.
	 * @param nowMs the current time, in ms since 1970
	 * @return the verdict
	 */
	public static SuspectVerdict decide(Collection<CrashReport> reports, Map<String, Long> convictedUntilMs,
			long nowMs) {
		return new CrashInquiry(reports, convictedUntilMs, nowMs).decide();
	}

	private SuspectVerdict decide() {
		Set<String> convicted = this.convictedUntilMs.entrySet()
			.stream()
			.filter((entry) -> entry.getValue() > this.nowMs && !this.answered.contains(entry.getKey()))
			.map(Map.Entry::getKey)
			.collect(Collectors.toCollection(HashSet::new));
		Map<String, Integer> newlyConvicted = new TreeMap<>();
		Optional<Candidate> next = mostSuspect(convicted);
		while (next.isPresent()) {
			convicted.add(next.get().subject());
			newlyConvicted.put(next.get().subject(), next.get().crashes());
			next = mostSuspect(convicted);
		}
		Set<String> suspects = unexplainedByService(convicted)
			.flatMap((unexplained) -> candidates(unexplained).stream())
			.filter((candidate) -> candidate.crashes() >= SUSPICIOUS_CRASHES)
			.map(Candidate::subject)
			.collect(Collectors.toSet());
		return new SuspectVerdict(convicted, newlyConvicted, suspects);
	}

	private Optional<Candidate> mostSuspect(Set<String> convicted) {
		return unexplainedByService(convicted).flatMap((unexplained) -> mostSuspect(unexplained).stream()).findFirst();
	}

	private Optional<Candidate> mostSuspect(List<CrashObservation> unexplained) {
		List<Candidate> candidates = candidates(unexplained);
		Optional<Candidate> convictedBefore = candidates.stream()
			.filter((candidate) -> this.convictedUntilMs.containsKey(candidate.subject()))
			.findFirst();
		if (convictedBefore.isPresent()) {
			return convictedBefore;
		}
		int most = candidates.stream().mapToInt(Candidate::crashes).max().orElse(0);
		List<Candidate> worst = candidates.stream().filter((candidate) -> candidate.crashes() == most).toList();
		int required = isDistinct(worst) ? CONVICTING_CRASHES : CONVICTING_CRASHES_IN_TIE;
		return worst.stream()
			.filter((candidate) -> most >= required && most * MIN_SHARE_DIVISOR >= candidate.crashesSinceFirst())
			.findFirst();
	}

	// A part and the parts before it are often at the same crashes, and the deepest is
	// the
	// likeliest cause. A request that was sent again is at the same crashes as all its
	// parts, which may be sound.
	private static boolean isDistinct(List<Candidate> deepestFirst) {
		if (deepestFirst.size() < 2) {
			return true;
		}
		int deepest = deepestFirst.get(0).depth();
		return deepest > deepestFirst.get(1).depth() && deepest < CrashObservation.REQUEST_DEPTH;
	}

	// The newest crashes of each service at which no convicted subject was, newest first.
	private Stream<List<CrashObservation>> unexplainedByService(Set<String> convicted) {
		return this.crashes.stream()
			.filter((crash) -> crash.subjects().stream().noneMatch(convicted::contains))
			.collect(Collectors.groupingBy(CrashObservation::service, TreeMap::new, Collectors.toList()))
			.values()
			.stream()
			.map((unexplained) -> unexplained.stream().limit(COMPARED_CRASHES).toList());
	}

	// The deepest first: if several were at the same crashes, the one that the fewest
	// requests share is convicted.
	private List<Candidate> candidates(List<CrashObservation> newestFirst) {
		Map<String, Candidate> bySubject = new TreeMap<>();
		for (int index = 0; index < newestFirst.size(); index++) {
			int crashesSince = index + 1;
			newestFirst.get(index)
				.depths()
				.entrySet()
				.stream()
				.filter((entry) -> !this.answered.contains(entry.getKey()))
				.map((entry) -> new Candidate(entry.getKey(), entry.getValue(), 1, crashesSince))
				.forEach((candidate) -> bySubject.merge(candidate.subject(), candidate, Candidate::withEarlierCrash));
		}
		return bySubject.values().stream().sorted(Comparator.comparingInt(Candidate::depth).reversed()).toList();
	}

	/**
	 * A subject that may have caused crashes.
	 *
	 * @param subject the subject
	 * @param depth its position in prompts
	 * @param crashes number of crashes that it was at
	 * @param crashesSinceFirst number of crashes since the first of them, including it
	 */
	private record Candidate(String subject, int depth, int crashes, int crashesSinceFirst) {

		Candidate withEarlierCrash(Candidate earlier) {
			return new Candidate(this.subject, Math.max(this.depth, earlier.depth), this.crashes + 1,
					earlier.crashesSinceFirst);
		}

	}

}
