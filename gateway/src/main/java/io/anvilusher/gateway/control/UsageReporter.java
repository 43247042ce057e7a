package io.anvilusher.gateway.control;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import java.util.stream.LongStream;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.anvilusher.adapters.metrics.Meters;
import io.anvilusher.adapters.process.MonotonicClock;
import io.anvilusher.logic.usage.SealRegister.WindowState;
import io.anvilusher.logic.usage.UsageFold;

/**
 * Writes this gateway's request counts to the shared usage log. While the process holds
 * the duties, it also seals windows, which fixes their figures, and reports the sealed
 * ones to the platform. Runs on the control thread.
 */
public final class UsageReporter {

	private static final Logger LOGGER = LoggerFactory.getLogger(UsageReporter.class);

	/** Interval at which ended windows are flushed, sealed and reported. */
	private static final long CHECK_INTERVAL_MS = 500;

	/**
	 * Delay after the end of a window until its counts are written to the log. The delay
	 * is longer than the clocks of the machines differ.
	 */
	private static final long FLUSH_DELAY_MS = 300;

	/**
	 * Fraction of the reporting time after which a window may be sealed, provided that
	 * all processes that counted in the previous window have written their counts.
	 */
	private static final double COMPLETE_SEAL_SHARE = 0.15;

	/**
	 * Fraction of the reporting time after which a window is sealed even if counts are
	 * missing. It leaves time for a process that is temporarily cut off from the store;
	 * the remaining time is needed for the report.
	 */
	private static final double FORCED_SEAL_SHARE = 0.85;

	/** Longest time that one read of the log waits for a record. */
	private static final long READ_WAIT_MS = 1_200;

	/** Delay before a failed call is retried. */
	private static final long RETRY_DELAY_MS = 600;

	/**
	 * Interval of the checks during shutdown whether the last counts have been written.
	 */
	private static final long FLUSH_CHECK_INTERVAL_MS = 20;

	private final DutyMembership membership;

	private final ReportSettings settings;

	private final UsageCounter counter;

	private final StoreLog log;

	private final UsageReportClient client;

	private final ControlTasks thread;

	private final MonotonicClock clock;

	private final LongSupplier timeOfDayMs;

	private final UsageFold fold;

	private final UsageMonitor monitor;

	private final UsageSeals seals;

	/** Counts that the store has confirmed, by window. */
	private final Map<Long, Map<String, Long>> confirmed = new HashMap<>();

	private final Set<Long> reporting = new HashSet<>();

	private final Set<Long> reported = new HashSet<>();

	private boolean flushing;

	/** Newest era of the store; confirmations of earlier ones are void. */
	private long flushEra;

	private int tenure;

	private long readOffset;

	/** Era of the store to which the read offset belongs. */
	private OptionalLong readEra = OptionalLong.empty();

	private boolean reading;

	private long caughtUpAtMs = Long.MIN_VALUE / 2;

	private boolean readSinceTakeover;

	private long overdueChecked = Long.MIN_VALUE;

	/**
	 * Creates the reporter.
	 * @param membership provides whether this process holds the duties
	 * @param settings settings of the reports
	 * @param counter this gateway's counts
	 * @param dependencies the usage log and the client for reports
	 * @param thread runs all tasks, one at a time
	 * @param clock the monotonic clock
	 * @param timeOfDayMs estimate of the time of day, in ms since 1970
	 */
	public UsageReporter(DutyMembership membership, ReportSettings settings, UsageCounter counter,
			Dependencies dependencies, ControlTasks thread, MonotonicClock clock, LongSupplier timeOfDayMs) {
		this.membership = membership;
		this.settings = settings;
		this.counter = counter;
		this.log = dependencies.log();
		this.client = dependencies.client();
		this.monitor = new UsageMonitor(dependencies.meters());
		this.thread = thread;
		this.clock = clock;
		this.timeOfDayMs = timeOfDayMs;
		this.fold = new UsageFold(this::presentWindow);
		this.seals = new UsageSeals(dependencies.seals(), thread, clock, this.monitor, this::presentWindow,
				this::oldestWindow, membership::holdsLease, this::sealAndReport);
	}

	/**
	 * Starts to write counts to the log, and to seal and report windows while this
	 * process holds the duties.
	 */
	public void start() {
		this.membership.addEraListener(this::onEra);
		this.membership.addHolderListener(this::onHolder);
		this.thread.every(CHECK_INTERVAL_MS, this::check);
	}

	private long presentWindow() {
		return this.timeOfDayMs.getAsLong() / this.settings.windowMs();
	}

	private long oldestWindow() {
		return (this.timeOfDayMs.getAsLong() - 2 * this.settings.lateMs()) / this.settings.windowMs();
	}

	private long newestWindow(double share) {
		return (this.timeOfDayMs.getAsLong() - (long) (this.settings.lateMs() * share)) / this.settings.windowMs() - 1;
	}

	// A store that names no era is given as era 0.
	private void onEra(long era) {
		if (era > 0) {
			this.seals.onEra(era);
		}
		if (era > this.flushEra) {
			this.flushEra = era;
			this.confirmed.clear();
		}
	}

	private void onHolder() {
		if (this.tenure != this.membership.tenures()) {
			this.tenure = this.membership.tenures();
			this.caughtUpAtMs = Long.MIN_VALUE / 2;
			this.seals.invalidate();
			this.seals.update();
		}
		if (!this.reading) {
			this.reading = true;
			this.readSinceTakeover = false;
			read();
		}
	}

	private void read() {
		if (!this.membership.isHolder()) {
			this.reading = false;
			return;
		}
		this.log.read(this.readOffset, READ_WAIT_MS).exceptionally((failure) -> {
			LOGGER.error("A read of the usage log failed unexpectedly", failure);
			return new StoreLog.ReadResult.Unavailable(failure.toString());
		}).thenAccept((result) -> this.thread.execute(() -> onRead(result)));
	}

	private void onRead(StoreLog.ReadResult result) {
		if (isOfOtherEra()) {
			this.monitor.onGap(this.readOffset, 0, this.readEra);
			this.fold.onGap();
			this.readOffset = 0;
			this.caughtUpAtMs = Long.MIN_VALUE / 2;
			read();
			return;
		}
		if (result instanceof StoreLog.ReadResult.Records records) {
			if (!this.readSinceTakeover) {
				this.readSinceTakeover = true;
				this.monitor.onReadingFrom(this.readOffset, records.firstOffset(), this.readEra);
			}
			records.contents().forEach((content) -> UsageRecord.decode(content).ifPresent(this::apply));
			this.readOffset = records.nextOffset();
			if (records.nextOffset() >= records.endOffset()) {
				this.caughtUpAtMs = this.clock.nowMs();
			}
			read();
			return;
		}
		if (result instanceof StoreLog.ReadResult.HistoryDropped dropped) {
			if (this.readOffset > 0) {
				this.monitor.onGap(this.readOffset, dropped.firstOffset(), this.readEra);
			}
			this.fold.onGap();
			this.readOffset = dropped.firstOffset();
		}
		this.thread.after(RETRY_DELAY_MS, this::read);
	}

	// The offsets of another era are those of other records.
	private boolean isOfOtherEra() {
		OptionalLong era = this.log.storeEra();
		boolean other = this.readEra.isPresent() && !this.readEra.equals(era);
		this.readEra = era;
		return other;
	}

	private void apply(UsageRecord usageRecord) {
		if (usageRecord.isSeal()) {
			// Written by an earlier release, which may have reported the window.
			this.fold.onSeal(usageRecord.window(), usageRecord.counts());
			return;
		}
		this.fold.onCounts(usageRecord.process(), usageRecord.window(), usageRecord.counts());
	}

	private void check() {
		flush((this.timeOfDayMs.getAsLong() - FLUSH_DELAY_MS) / this.settings.windowMs());
		if (this.membership.holdsLease() ? !this.seals.isCurrent() || awaitsLostSeal() : this.seals.isRestoring()) {
			this.seals.update();
		}
		sealAndReport();
		if (this.membership.isHolder()) {
			checkOverdue(newestWindow(1));
		}
	}

	// Another gateway may know the seal and write it again.
	private boolean awaitsLostSeal() {
		return LongStream.rangeClosed(newestWindow(1) + 1, newestWindow(COMPLETE_SEAL_SHARE))
			.anyMatch((window) -> this.seals.state(window) == WindowState.UNCERTAIN);
	}

	private void checkOverdue(long newestDue) {
		if (newestDue > this.overdueChecked && this.overdueChecked > Long.MIN_VALUE
				&& !this.reported.contains(newestDue)) {
			this.monitor.onOverdue(newestDue, overdueReason(newestDue));
		}
		this.overdueChecked = Math.max(this.overdueChecked, newestDue);
	}

	private UsageMonitor.Overdue overdueReason(long window) {
		if (!this.membership.mayAct()) {
			return UsageMonitor.Overdue.NO_LEASE;
		}
		if (this.seals.sealed(window).isPresent()) {
			return UsageMonitor.Overdue.NOT_ACCEPTED;
		}
		if (!isCaughtUp()) {
			return UsageMonitor.Overdue.LOG_NOT_READ;
		}
		if (figures(window).isEmpty()) {
			return UsageMonitor.Overdue.NO_COUNTS;
		}
		if (!this.seals.isCurrent()) {
			return UsageMonitor.Overdue.SEALS_NOT_READ;
		}
		return switch (this.seals.state(window)) {
			case UNCERTAIN -> UsageMonitor.Overdue.SEAL_MAY_BE_LOST;
			case CLOSED -> UsageMonitor.Overdue.CLOSED;
			case OPEN, SEALED -> UsageMonitor.Overdue.NOT_SEALED;
		};
	}

	private boolean isCaughtUp() {
		return this.clock.nowMs() - this.caughtUpAtMs <= READ_WAIT_MS * 2;
	}

	private Map<String, Long> figures(long window) {
		return this.fold.sealed(window).orElseGet(() -> this.fold.total(window));
	}

	// Counts are kept until their window is not reported any more, since the store may
	// lose them. Those of windows that may not be sealed yet are repeated, so that a
	// holder that missed them reads them.
	private void flush(long beforeWindow) {
		forgetOldCounts();
		Map<Long, Map<String, Long>> counts = this.counter.countsBefore(beforeWindow);
		if (this.flushing || isWritten(counts)) {
			return;
		}
		long newestDue = newestWindow(1);
		counts.keySet().removeIf((window) -> window <= newestDue && this.confirmed.containsKey(window));
		this.flushing = true;
		long eraAtSend = this.flushEra;
		this.log
			.append(counts.entrySet()
				.stream()
				.map((entry) -> new UsageRecord(this.membership.member(), entry.getKey(), entry.getValue()).encode())
				.toList())
			.thenAccept((accepted) -> this.thread.execute(() -> {
				if (accepted) {
					this.flushing = false;
					onFlushed(counts, eraAtSend);
					return;
				}
				this.thread.after(RETRY_DELAY_MS, () -> this.flushing = false);
			}));
	}

	private void forgetOldCounts() {
		long oldest = oldestWindow();
		this.counter.countsBefore(oldest)
			.keySet()
			.stream()
			.filter((window) -> !this.confirmed.containsKey(window))
			.forEach(this.monitor::onCountsLost);
		this.counter.removeBefore(oldest);
		this.confirmed.keySet().removeIf((window) -> window < oldest);
	}

	private boolean isWritten(Map<Long, Map<String, Long>> counts) {
		return counts.entrySet()
			.stream()
			.allMatch((entry) -> entry.getValue().equals(this.confirmed.get(entry.getKey())));
	}

	private void onFlushed(Map<Long, Map<String, Long>> counts, long eraAtSend) {
		if (eraAtSend == this.flushEra) {
			this.confirmed.putAll(counts);
		}
	}

	private void sealAndReport() {
		if (!this.membership.mayAct()) {
			return;
		}
		long oldest = oldestWindow();
		long newestForced = newestWindow(FORCED_SEAL_SHARE);
		this.reported.removeIf((window) -> window < oldest);
		Map<Long, Map<String, Long>> figuresToSeal = new TreeMap<>();
		for (long window = oldest; window <= newestWindow(COMPLETE_SEAL_SHARE); window++) {
			Optional<Map<String, Long>> sealed = this.seals.sealed(window);
			if (sealed.isPresent()) {
				this.fold.onSeal(window, sealed.get());
				report(window, sealed.get());
			}
			else if (isCaughtUp() && (window <= newestForced || this.fold.isComplete(window))
					&& !figures(window).isEmpty()) {
				figuresToSeal.put(window, figures(window));
			}
		}
		this.seals.seal(figuresToSeal);
	}

	private void report(long window, Map<String, Long> counts) {
		if (this.reported.contains(window) || !this.reporting.add(window)) {
			return;
		}
		long fencingToken = this.membership.beginAction();
		this.client.report(this.settings.holderName(), fencingToken, window, counts)
			.thenAccept((outcome) -> this.thread.execute(() -> {
				this.monitor.onReport(window, counts, fencingToken, outcome);
				this.reporting.remove(window);
				if (outcome == UsageReportClient.Outcome.ACCEPTED) {
					this.reported.add(window);
				}
				else if (outcome == UsageReportClient.Outcome.FENCED) {
					this.membership.onFenced(fencingToken);
				}
			}));
	}

	/**
	 * Writes all counts to the log, including those of the current window; failed writes
	 * are retried.
	 * @return completes when the store has confirmed all counts
	 */
	public CompletableFuture<Void> flushAll() {
		CompletableFuture<Void> flushed = new CompletableFuture<>();
		this.thread.execute(() -> flushUntilWritten(flushed));
		return flushed;
	}

	private void flushUntilWritten(CompletableFuture<Void> flushed) {
		if (isWritten(this.counter.countsBefore(Long.MAX_VALUE))) {
			flushed.complete(null);
			return;
		}
		flush(Long.MAX_VALUE);
		this.thread.after(FLUSH_CHECK_INTERVAL_MS, () -> flushUntilWritten(flushed));
	}

	/**
	 * The interfaces that the reporter uses.
	 *
	 * @param log the log of counts that the gateways share
	 * @param seals the table of seals that the gateways share
	 * @param client client of the platform's interface for usage reports
	 * @param meters metrics of this process
	 */
	public record Dependencies(StoreLog log, ConditionalTable seals, UsageReportClient client, Meters meters) {

	}

	/**
	 * Settings of the usage reports.
	 *
	 * @param holderName name of this process in reports
	 * @param windowMs length of a window, in ms
	 * @param lateMs time after a window's end by which its report is due, in ms
	 */
	public record ReportSettings(String holderName, long windowMs, long lateMs) {

	}

}
