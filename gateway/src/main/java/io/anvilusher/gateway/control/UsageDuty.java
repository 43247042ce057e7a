package io.anvilusher.gateway.control;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.anvilusher.adapters.control.ControlThread;
import io.anvilusher.adapters.process.MonotonicClock;
import io.anvilusher.logic.usage.UsageFold;

/**
 * Brings this gateway's counts into the shared log and, while it holds the duty, seals
 * and reports windows. Works on the control thread.
 */
public final class UsageDuty {

	private static final Logger LOGGER = LoggerFactory.getLogger(UsageDuty.class);

	/** Pause between two looks at the windows, in ms. */
	private static final long TICK_MS = 500;

	/**
	 * Time after a window's end at which counts are written, in ms. Source: clocks of
	 * machines differ by less.
	 */
	private static final long FLUSH_AFTER_MS = 300;

	/**
	 * Part of the time to report after which a window is sealed once all processes that
	 * counted in the window before have written their counts.
	 */
	private static final double SEAL_SHARE = 0.15;

	/**
	 * Part of the time to report after which a window is sealed with what there is: a
	 * process may be cut off from the store for a while, and the rest is left to report.
	 */
	private static final double SEAL_ANYWAY_SHARE = 0.65;

	/** Longest wait of one read, in ms. */
	private static final long WAIT_MS = 1_200;

	/** Pause after a failed call, in ms. */
	private static final long RETRY_MS = 600;

	/** Pause between two looks whether the last counts are written, in ms. */
	private static final long LEAVE_CHECK_MS = 20;

	private final DutyMembership membership;

	private final UsageTerms terms;

	private final UsageCounter counter;

	private final StoreLog log;

	private final UsageCalls calls;

	private final ControlThread thread;

	private final MonotonicClock clock;

	private final LongSupplier trueTimeMs;

	private final UsageFold fold = new UsageFold();

	private final Set<Long> flushing = new HashSet<>();

	private final Set<Long> sealing = new HashSet<>();

	private final Set<Long> reporting = new HashSet<>();

	private final Set<Long> reported = new HashSet<>();

	private long readOffset;

	private boolean reading;

	private long caughtUpAtMs = Long.MIN_VALUE / 2;

	/**
	 * Creates the controller.
	 * @param membership this process's standing for the duty
	 * @param terms windows and times
	 * @param counter this gateway's counts
	 * @param ports the log and the calls
	 * @param thread the control thread
	 * @param clock the steady clock
	 * @param trueTimeMs estimate of the time, in ms since 1970
	 */
	public UsageDuty(DutyMembership membership, UsageTerms terms, UsageCounter counter, Ports ports,
			ControlThread thread, MonotonicClock clock, LongSupplier trueTimeMs) {
		this.membership = membership;
		this.terms = terms;
		this.counter = counter;
		this.log = ports.log();
		this.calls = ports.calls();
		this.thread = thread;
		this.clock = clock;
		this.trueTimeMs = trueTimeMs;
	}

	/**
	 * Starts to bring counts into the log.
	 */
	public void start() {
		this.membership.onHolder(this::onHolder);
		this.thread.every(TICK_MS, this::tick);
	}

	private void onHolder() {
		if (!this.reading) {
			this.reading = true;
			read();
		}
	}

	private void read() {
		if (!this.membership.isHolder()) {
			this.reading = false;
			return;
		}
		this.log.read(this.readOffset, WAIT_MS).thenAccept((answer) -> this.thread.run(() -> {
			if (answer instanceof StoreLog.Read.Records records) {
				records.contents().forEach((content) -> UsageRecord.decode(content).ifPresent(this::apply));
				this.readOffset = records.nextOffset();
				if (records.nextOffset() >= records.endOffset()) {
					this.caughtUpAtMs = this.clock.nowMs();
				}
				read();
				return;
			}
			if (answer instanceof StoreLog.Read.Dropped dropped) {
				this.readOffset = dropped.firstOffset();
			}
			this.thread.after(RETRY_MS, this::read);
		}));
	}

	private void apply(UsageRecord entry) {
		if (entry.isSeal()) {
			this.fold.onSeal(entry.window(), entry.counts());
			this.sealing.remove(entry.window());
			reportDue();
			return;
		}
		this.fold.onCounts(entry.process(), entry.window(), entry.counts());
	}

	private void tick() {
		long nowMs = this.trueTimeMs.getAsLong();
		flush((nowMs - FLUSH_AFTER_MS) / this.terms.windowMs());
		reportDue();
	}

	private void flush(long beforeWindow) {
		this.counter.before(beforeWindow).forEach((window, counts) -> {
			if (!this.flushing.add(window)) {
				return;
			}
			this.log.append(new UsageRecord(this.membership.member(), window, counts).encode())
				.thenAccept((accepted) -> this.thread.run(() -> {
					if (accepted) {
						this.flushing.remove(window);
						this.counter.forget(window);
						return;
					}
					this.thread.after(RETRY_MS, () -> this.flushing.remove(window));
				}));
		});
	}

	private void reportDue() {
		if (!this.membership.mayAct() || this.clock.nowMs() - this.caughtUpAtMs > WAIT_MS * 2) {
			return;
		}
		long nowMs = this.trueTimeMs.getAsLong();
		long oldest = (nowMs - 2 * this.terms.lateMs()) / this.terms.windowMs();
		long newest = lastEnded(nowMs, SEAL_SHARE);
		long newestAnyway = lastEnded(nowMs, SEAL_ANYWAY_SHARE);
		this.reported.removeIf((window) -> window < oldest);
		for (long window = oldest; window <= newest; window++) {
			if (window <= newestAnyway || this.fold.isComplete(window)) {
				due(window);
			}
		}
	}

	private long lastEnded(long nowMs, double share) {
		return (nowMs - (long) (this.terms.lateMs() * share)) / this.terms.windowMs() - 1;
	}

	private void due(long window) {
		if (this.reported.contains(window) || this.reporting.contains(window)) {
			return;
		}
		if (this.fold.sealed(window).isPresent()) {
			report(window, this.fold.sealed(window).get());
			return;
		}
		Map<String, Long> total = this.fold.total(window);
		if (!total.isEmpty() && this.sealing.add(window)) {
			this.log.append(new UsageRecord("", window, total).encode()).thenAccept((accepted) -> {
				if (!accepted) {
					this.thread.after(RETRY_MS, () -> this.sealing.remove(window));
				}
			});
		}
	}

	private void report(long window, Map<String, Long> counts) {
		this.reporting.add(window);
		long token = this.membership.act();
		this.calls.report(this.terms.holderName(), token, window, counts)
			.thenAccept((outcome) -> this.thread.run(() -> {
				LOGGER.info("Usage of window {} reported with token {}: {}", window, token, outcome);
				this.reporting.remove(window);
				if (outcome == UsageCalls.Outcome.ACCEPTED) {
					this.reported.add(window);
				}
				else if (outcome == UsageCalls.Outcome.FENCED) {
					this.membership.onFenced(token);
				}
			}));
	}

	/**
	 * Writes all counts, also those of the running window, until the store has them.
	 * @return completes when the store has all counts
	 */
	public CompletableFuture<Void> leave() {
		CompletableFuture<Void> written = new CompletableFuture<>();
		this.thread.run(() -> flushUntilWritten(written));
		return written;
	}

	private void flushUntilWritten(CompletableFuture<Void> written) {
		if (this.counter.before(Long.MAX_VALUE).isEmpty()) {
			written.complete(null);
			return;
		}
		flush(Long.MAX_VALUE);
		this.thread.after(LEAVE_CHECK_MS, () -> flushUntilWritten(written));
	}

	/**
	 * What the controller works with.
	 *
	 * @param log the gateways' usage log
	 * @param calls the platform's interface
	 */
	public record Ports(StoreLog log, UsageCalls calls) {

	}

	/**
	 * Windows and times.
	 *
	 * @param holderName name of this process in reports
	 * @param windowMs length of a window, in ms
	 * @param lateMs time after a window's end by which its report is due, in ms
	 */
	public record UsageTerms(String holderName, long windowMs, long lateMs) {

	}

}
