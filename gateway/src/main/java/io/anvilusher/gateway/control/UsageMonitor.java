package io.anvilusher.gateway.control;

import java.util.Map;
import java.util.OptionalLong;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

import io.anvilusher.adapters.metrics.Meters;
import io.anvilusher.logic.usage.UsageSeal;

/**
 * Logs and counts what happens to usage windows at this gateway, so that an operator can
 * tell who fixed the figures of a window, and why one was not reported.
 */
final class UsageMonitor {

	private static final Logger LOGGER = LoggerFactory.getLogger(UsageMonitor.class);

	private final Meters meters;

	/**
	 * Creates the monitor.
	 * @param meters metrics of this process
	 */
	UsageMonitor(Meters meters) {
		this.meters = meters;
	}

	/**
	 * Records which part of the usage log this gateway can read.
	 * @param fromOffset offset from which it reads on
	 * @param firstOffset offset of the oldest record that is kept
	 * @param era era of the store, or empty if it names none
	 */
	void onReadingFrom(long fromOffset, long firstOffset, OptionalLong era) {
		LOGGER.info("Usage log: reading from offset {}, the first that is kept is {}, era {}", fromOffset, firstOffset,
				text(era));
	}

	/**
	 * Records a gap in what this gateway has read of the usage log.
	 * @param fromOffset offset that it asked for
	 * @param firstOffset offset of the oldest record that is kept
	 * @param era era of the store, or empty if it names none
	 */
	void onGap(long fromOffset, long firstOffset, OptionalLong era) {
		this.meters.counter("anvilusher.usage.log.gaps").increment();
		LOGGER.warn("Usage log: the records from offset {} on are not kept; reading goes on at {}, era {}", fromOffset,
				firstOffset, text(era));
	}

	/**
	 * Records a seal that this gateway has written or read.
	 * @param seal the seal
	 * @param endOffset offset at which the table of seals ends
	 * @param first whether this gateway knows no earlier seal of the window
	 */
	void onSeal(UsageSeal seal, long endOffset, boolean first) {
		this.meters.counter("anvilusher.usage.seals", "outcome", first ? "first" : "contradicting").increment();
		LOGGER.info("Usage of window {} is sealed with {} requests in era {}; the table of seals ends at {}{}",
				seal.window(), requests(seal.counts()), text(seal.era()), endOffset,
				first ? "" : "; ignored, other figures are known here");
	}

	/**
	 * Records a seal that the store has lost and that is written again.
	 * @param seal the seal
	 * @param endOffset offset at which the table of seals ends
	 */
	void onSealRestored(UsageSeal seal, long endOffset) {
		this.meters.counter("anvilusher.usage.seals", "outcome", "restored").increment();
		LOGGER.info("Usage of window {}: the store has lost the seal with {} requests; writing it again at {}, era {}",
				seal.window(), requests(seal.counts()), endOffset, text(seal.era()));
	}

	/**
	 * Records the result of an append to the table of seals.
	 * @param result the result
	 */
	void onSealAppend(ConditionalTable.Result result) {
		this.meters.counter("anvilusher.usage.seal.appends", "outcome", result.getClass().getSimpleName()).increment();
		if (!(result instanceof ConditionalTable.Result.Appended)) {
			LOGGER.info("Seals: an append is not confirmed: {}", result);
		}
	}

	/**
	 * Records a failed read of the table of seals.
	 * @param result the result
	 */
	void onSealsUnavailable(ConditionalTable.Result result) {
		this.meters.counter("anvilusher.usage.seal.reads.failed").increment();
		LOGGER.info("Seals: the table was not read: {}", result);
	}

	/**
	 * Records a report.
	 * @param window number of the window
	 * @param counts the figures reported
	 * @param fencingToken token under which they were reported
	 * @param outcome the outcome
	 */
	void onReport(long window, Map<String, Long> counts, long fencingToken, UsageReportClient.Outcome outcome) {
		this.meters.counter("anvilusher.usage.reports", "outcome", outcome.name()).increment();
		LOGGER.info("Usage of window {} reported with token {}: {}, {} requests", window, fencingToken, outcome,
				requests(counts));
	}

	/**
	 * Records counts of this gateway that the store has not confirmed as long as their
	 * window was reported.
	 * @param window number of the window
	 */
	void onCountsLost(long window) {
		this.meters.counter("anvilusher.usage.counts.lost").increment();
		LOGGER.warn("Usage of window {}: the store has not confirmed the counts of this gateway; it is too late",
				window);
	}

	/**
	 * Records a window that this gateway has not reported by the time it was due.
	 * @param window number of the window
	 * @param reason why not
	 */
	void onOverdue(long window, Overdue reason) {
		this.meters.counter("anvilusher.usage.overdue", "reason", reason.name()).increment();
		// A window without requests has no report.
		LOGGER.atLevel((reason == Overdue.NO_COUNTS) ? Level.DEBUG : Level.WARN)
			.log("Usage of window {} was not reported in time: {}", window, reason);
	}

	private static long requests(Map<String, Long> counts) {
		return counts.values().stream().mapToLong(Long::longValue).sum();
	}

	private static String text(long era) {
		return text((era >= 0) ? OptionalLong.of(era) : OptionalLong.empty());
	}

	private static String text(OptionalLong era) {
		return era.isPresent() ? Long.toString(era.getAsLong()) : "not named";
	}

	/** Why a window was not reported in time. */
	enum Overdue {

		/** No lease was held that allows a report. */
		NO_LEASE,

		/** The usage log could not be read to its end. */
		LOG_NOT_READ,

		/** No counts of the window are known; none may have been run. */
		NO_COUNTS,

		/** The table of seals could not be read. */
		SEALS_NOT_READ,

		/** The store has not confirmed a seal. */
		NOT_SEALED,

		/**
		 * The window may have been sealed before the store returned from an older copy.
		 */
		SEAL_MAY_BE_LOST,

		/** It is too late to seal the window. */
		CLOSED,

		/** The window is sealed, but the platform has not accepted the report. */
		NOT_ACCEPTED

	}

}
