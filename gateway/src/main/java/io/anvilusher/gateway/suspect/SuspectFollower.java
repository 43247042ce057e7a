package io.anvilusher.gateway.suspect;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.anvilusher.gateway.control.StoreTable;
import io.anvilusher.gateway.control.TableFollower;
import io.anvilusher.logic.suspect.CrashInquiry;
import io.anvilusher.logic.suspect.CrashObservation;
import io.anvilusher.logic.suspect.CrashReport;
import io.anvilusher.logic.suspect.SuspectVerdict;

/**
 * Shares the crashes that this gateway observes with the other gateways, and decides from
 * all of them which subjects are convicted. Without the store, the gateway decides from
 * its own observations and the last ones read. Runs on the control thread.
 */
final class SuspectFollower implements TableFollower.Listener<SuspectRecord> {

	private static final Logger LOGGER = LoggerFactory.getLogger(SuspectFollower.class);

	private static final long CONVICTION_MS = 3_600_000;

	/**
	 * Time after its end for which a conviction is remembered, so that one crash convicts
	 * again.
	 */
	private static final long CONVICTION_MEMORY_MS = 24 * CONVICTION_MS;

	/** Interval of the checks for convictions that have ended. */
	private static final long CHECK_INTERVAL_MS = 10_000;

	/** Pause between two reads of changes. */
	private static final long READ_PAUSE_MS = 100;

	/** Longest wait of one read for a change. Crashes are rare. */
	private static final long READ_WAIT_MS = 8_000;

	/**
	 * Longest delay before a failed read is retried; meanwhile each gateway decides from
	 * its own crashes.
	 */
	private static final long MAX_READ_RETRY_DELAY_MS = 1_800;

	/** Delay before a failed write is retried. */
	private static final long RETRY_DELAY_MS = 600;

	/**
	 * Maximum delay before an answer to a suspect is published. Many gateways may see
	 * answers at the same time, and one report is enough.
	 */
	private static final int MAX_ANSWER_DELAY_MS = 1_000;

	/** Number of own crashes in a report; the newest are kept. */
	private static final int MAX_CRASHES = 8;

	/** Number of subjects in a report for each crash. */
	private static final int MAX_SUBJECTS = 32;

	/** Number of answered subjects in a report; the newest are kept. */
	private static final int MAX_ANSWERED = 128;

	/** Number of own convictions kept in memory; the newest are kept. */
	private static final int MAX_CONVICTIONS = 256;

	private final String reportKey;

	private final StoreTable table;

	private final TableFollower.ControlContext context;

	private final LongSupplier timeOfDayMs;

	private final RandomGenerator random;

	private final AnsweredSubjects answeredSubjects;

	private final Map<String, CrashObservation> ownCrashes = new HashMap<>();

	private final Map<String, Long> ownAnsweredAtMs = bounded(MAX_ANSWERED);

	private final Map<String, Long> ownConvictedUntilMs = bounded(MAX_CONVICTIONS);

	private Map<String, SuspectRecord> shared = Map.of();

	private CrashReport published = CrashReport.EMPTY;

	private boolean sharedKnown;

	private boolean publishing;

	private volatile SuspectVerdict verdict = SuspectVerdict.NONE;

	private volatile Set<String> crashIds = Set.of();

	SuspectFollower(String process, StoreTable table, TableFollower.ControlContext context, LongSupplier timeOfDayMs,
			RandomGenerator random, AnsweredSubjects answeredSubjects) {
		this.reportKey = SuspectRecord.GATEWAY_KEY + process;
		this.table = table;
		this.context = context;
		this.timeOfDayMs = timeOfDayMs;
		this.random = random;
		this.answeredSubjects = answeredSubjects;
	}

	private static Map<String, Long> bounded(int maxSize) {
		return new LinkedHashMap<>() {

			@Override
			protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
				return size() > maxSize;
			}

		};
	}

	void start() {
		new TableFollower<>("suspects", this.table, SuspectRecord::decode, this, this.context,
				new TableFollower.PollIntervals(READ_PAUSE_MS, READ_WAIT_MS, MAX_READ_RETRY_DELAY_MS))
			.start();
		this.context.thread().every(CHECK_INTERVAL_MS, this::decide);
	}

	/**
	 * Returns the newest verdict. May be called on any thread.
	 * @return the verdict
	 */
	SuspectVerdict verdict() {
		return this.verdict;
	}

	/**
	 * Returns whether a gateway has reported a crash lately. May be called on any thread.
	 * @param crashId identifies the crash
	 * @return whether the crash is known
	 */
	boolean isKnownCrash(String crashId) {
		return this.crashIds.contains(crashId);
	}

	@Override
	public void onTable(Map<String, SuspectRecord> values) {
		this.shared = values;
		if (!this.sharedKnown) {
			this.sharedKnown = true;
			adoptEarlierReport();
		}
		decide();
		publish();
	}

	// Continues the report of the process that had this name before a restart.
	private void adoptEarlierReport() {
		if (this.shared.get(this.reportKey) instanceof SuspectRecord.Report earlier) {
			this.published = earlier.content();
			earlier.content().crashes().forEach((crash) -> this.ownCrashes.putIfAbsent(crash.crashId(), crash));
			earlier.content().answered().forEach((subject) -> this.ownAnsweredAtMs.put(subject, nowMs()));
		}
	}

	void onCrash(String crashId, String service, Map<String, Integer> depths) {
		Map<String, Integer> unanswered = new HashMap<>();
		depths.forEach((subject, depth) -> {
			if (this.answeredSubjects.contains(subject, this.context.clock().nowMs())) {
				this.ownAnsweredAtMs.put(subject, nowMs());
			}
			else {
				unanswered.put(subject, depth);
			}
		});
		CrashObservation observed = new CrashObservation(crashId, service, nowMs(), unanswered);
		this.ownCrashes.merge(crashId, observed, CrashObservation::merge);
		decide();
		publish();
	}

	/**
	 * Records that a server answered a subject that is suspected or convicted.
	 * @param subject the subject
	 */
	void onAnswered(String subject) {
		boolean known = this.ownAnsweredAtMs.put(subject, nowMs()) != null;
		if (this.verdict.convicted().contains(subject)) {
			LOGGER.atWarn().addKeyValue("subject", subject).log("Conviction withdrawn: a server answered the subject");
			withdraw(subject);
		}
		decide();
		if (!known) {
			this.context.thread().after(this.random.nextInt(MAX_ANSWER_DELAY_MS), () -> {
				if (!answeredElsewhere(subject)) {
					publish();
				}
			});
		}
	}

	private boolean answeredElsewhere(String subject) {
		return otherReports().anyMatch((report) -> report.answered().contains(subject));
	}

	private Stream<CrashReport> otherReports() {
		return this.shared.entrySet()
			.stream()
			.filter((entry) -> !entry.getKey().equals(this.reportKey))
			.flatMap((entry) -> (entry.getValue() instanceof SuspectRecord.Report report) ? Stream.of(report.content())
					: Stream.empty());
	}

	private long nowMs() {
		return this.timeOfDayMs.getAsLong();
	}

	private void decide() {
		long nowMs = nowMs();
		SuspectVerdict before = this.verdict;
		List<CrashReport> reports = Stream.concat(otherReports(), Stream.of(report())).toList();
		SuspectVerdict next = CrashInquiry.decide(reports, convictedUntilMs(), nowMs);
		this.verdict = next;
		this.crashIds = reports.stream()
			.flatMap((report) -> report.crashes().stream())
			.map(CrashObservation::crashId)
			.collect(Collectors.toUnmodifiableSet());
		next.newlyConvicted().forEach((subject, crashes) -> convict(subject, crashes, nowMs));
		next.convicted()
			.stream()
			.filter((subject) -> !before.convicted().contains(subject) && !next.newlyConvicted().containsKey(subject))
			.forEach((subject) -> LOGGER.atWarn()
				.addKeyValue("subject", subject)
				.log("Subject is convicted by another gateway and is sent to no server"));
		List<String> answered = reports.stream().flatMap((report) -> report.answered().stream()).toList();
		before.convicted()
			.stream()
			.filter((subject) -> !next.convicted().contains(subject))
			.forEach((subject) -> LOGGER.atInfo()
				.addKeyValue("subject", subject)
				.log("Conviction ended; the subject is sent to servers again"));
		Set.copyOf(this.ownConvictedUntilMs.keySet()).stream().filter(answered::contains).forEach(this::withdraw);
		Stream.concat(next.suspects().stream(), next.convicted().stream())
			.filter((subject) -> this.answeredSubjects.contains(subject, this.context.clock().nowMs()))
			.forEach((subject) -> this.context.thread().run(() -> onAnswered(subject)));
	}

	private Map<String, Long> convictedUntilMs() {
		Map<String, Long> untilMs = new HashMap<>(this.ownConvictedUntilMs);
		this.shared.forEach((key, value) -> {
			if (value instanceof SuspectRecord.Conviction conviction) {
				untilMs.merge(key.substring(SuspectRecord.CONVICTION_KEY.length()), conviction.untilMs(), Math::max);
			}
		});
		return untilMs;
	}

	private void convict(String subject, int crashes, long nowMs) {
		long untilMs = nowMs + CONVICTION_MS;
		this.ownConvictedUntilMs.put(subject, untilMs);
		this.context.meters().counter("anvilusher.suspects.convicted").increment();
		LOGGER.atWarn()
			.addKeyValue("subject", subject)
			.addKeyValue("crashes", crashes)
			.addKeyValue("until_ms", untilMs)
			.log("Subject convicted: it was at several crashes of servers and is sent to none");
		// The gateways that saw a crash with the subject store the conviction; the others
		// would only repeat the write.
		if (this.ownCrashes.values().stream().anyMatch((crash) -> crash.subjects().contains(subject))) {
			write(SuspectRecord.CONVICTION_KEY + subject, Optional.of(new SuspectRecord.Conviction(untilMs)));
			removeForgottenConvictions(nowMs);
		}
	}

	private void removeForgottenConvictions(long nowMs) {
		this.shared.forEach((key, value) -> {
			if (value instanceof SuspectRecord.Conviction conviction
					&& conviction.untilMs() + CONVICTION_MEMORY_MS < nowMs) {
				write(key, Optional.empty());
			}
		});
	}

	private void withdraw(String subject) {
		this.ownConvictedUntilMs.remove(subject);
		write(SuspectRecord.CONVICTION_KEY + subject, Optional.empty());
	}

	private void write(String key, Optional<SuspectRecord> value) {
		this.table.write(key, value.map(SuspectRecord::encode)).thenAccept((written) -> {
			if (!written) {
				this.context.thread().after(RETRY_DELAY_MS, () -> rewrite(key, value));
			}
		});
	}

	// A conviction may have been withdrawn, or convicted again, since the failed write.
	private void rewrite(String key, Optional<SuspectRecord> value) {
		String subject = key.substring(SuspectRecord.CONVICTION_KEY.length());
		if (this.ownConvictedUntilMs.containsKey(subject) == value.isPresent()) {
			write(key, value);
		}
	}

	private CrashReport report() {
		long nowMs = nowMs();
		this.ownCrashes.values()
			.removeIf((crash) -> Math.abs(nowMs - crash.observedAtMs()) > CrashInquiry.MAX_CRASH_AGE_MS);
		this.ownAnsweredAtMs.values().removeIf((atMs) -> Math.abs(nowMs - atMs) > CrashInquiry.MAX_CRASH_AGE_MS);
		List<CrashObservation> newest = new ArrayList<>(this.ownCrashes.values());
		newest.sort(Comparator.comparingLong(CrashObservation::observedAtMs).reversed());
		newest.stream().skip(MAX_CRASHES).forEach((crash) -> this.ownCrashes.remove(crash.crashId()));
		return new CrashReport(newest.stream().limit(MAX_CRASHES).toList(),
				new HashSet<>(this.ownAnsweredAtMs.keySet()));
	}

	// The report as the other gateways get it. Keeps subjects that were at several
	// crashes. Of the rest, drops whole requests first: parts crash more servers, as more
	// requests have them.
	private CrashReport sharedReport() {
		CrashReport own = report();
		Map<String, Set<String>> crashesBySubject = new HashMap<>();
		Stream.concat(Stream.of(own), otherReports())
			.flatMap((report) -> report.crashes().stream())
			.forEach((crash) -> crash.subjects()
				.forEach((subject) -> crashesBySubject.computeIfAbsent(subject, (key) -> new HashSet<>())
					.add(crash.crashId())));
		Comparator<Map.Entry<String, Integer>> mostSuspectFirst = Comparator
			.comparingInt((entry) -> -crashesBySubject.get(entry.getKey()).size());
		List<CrashObservation> crashes = own.crashes()
			.stream()
			.map((crash) -> new CrashObservation(crash.crashId(), crash.service(), crash.observedAtMs(),
					crash.depths()
						.entrySet()
						.stream()
						.sorted(mostSuspectFirst.thenComparing(Map.Entry.comparingByValue())
							.thenComparing(Map.Entry.comparingByKey()))
						.limit(MAX_SUBJECTS)
						.collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue))))
			.toList();
		return new CrashReport(crashes, own.answered());
	}

	private void publish() {
		CrashReport report = sharedReport();
		if (!this.sharedKnown || this.publishing || report.equals(this.published)) {
			return;
		}
		this.publishing = true;
		this.table.write(this.reportKey, Optional.of(new SuspectRecord.Report(report).encode()))
			.thenAccept((written) -> this.context.thread().run(() -> {
				this.publishing = false;
				if (written) {
					this.published = report;
					publish();
					return;
				}
				this.context.thread().after(RETRY_DELAY_MS, this::publish);
			}));
	}

}
