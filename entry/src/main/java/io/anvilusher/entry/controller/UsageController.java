package io.anvilusher.entry.controller;

import java.util.Optional;
import java.util.OptionalLong;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.anvilusher.adapters.control.ControlFollower;
import io.anvilusher.adapters.control.RecordAppender;
import io.anvilusher.adapters.platform.UsageReports;
import io.anvilusher.logic.fold.UsageState;
import io.anvilusher.logic.usage.FlushLedger;
import io.anvilusher.model.fact.UsageReported;
import io.anvilusher.model.fact.UsageSealed;
import io.anvilusher.model.usage.SealedWindow;

/**
 * Seals usage windows in the log and reports exactly what was sealed, oldest window
 * first.
 */
final class UsageController implements Controller {

	private static final Logger LOGGER = LoggerFactory.getLogger(UsageController.class);

	private static final long APPEND_TIMEOUT_MS = 4000;

	private final ControlFollower follower;

	private final RecordAppender appender;

	private final UsageReports reports;

	private final FlushLedger ledger;

	private final long windowMs;

	private long nextSealAtMs;

	private boolean sealing;

	private boolean reporting;

	UsageController(ControlFollower follower, RecordAppender appender, UsageReports reports, FlushLedger ledger,
			long windowMs) {
		this.follower = follower;
		this.appender = appender;
		this.reports = reports;
		this.ledger = ledger;
		this.windowMs = windowMs;
		this.nextSealAtMs = follower.clock().nowMs() + windowMs;
	}

	@Override
	public void step(Authority authority) {
		if (!this.sealing && this.follower.clock().nowMs() >= this.nextSealAtMs) {
			authority.term().ifPresent((term) -> seal(authority.lease(), term));
		}
		if (!this.reporting) {
			report(authority);
		}
	}

	private void seal(String lease, long term) {
		this.nextSealAtMs = this.follower.clock().nowMs() + this.windowMs;
		UsageState usage = this.follower.state().usage();
		FlushLedger.Window window = this.ledger.next(usage);
		if (window.lines().isEmpty()) {
			return;
		}
		this.sealing = true;
		this.appender
			.append(new UsageSealed(usage.nextWindow(lease), lease, term, window.lines(), window.flushedThrough()),
					APPEND_TIMEOUT_MS)
			.thenAccept((decision) -> this.follower.thread().run(() -> this.sealing = false));
	}

	private void report(Authority authority) {
		Optional<SealedWindow> oldest = this.follower.state()
			.usage()
			.unreported()
			.values()
			.stream()
			.filter((window) -> window.lease().equals(authority.lease()))
			.findFirst();
		// Asked last, so that little time passes between the check and the call.
		OptionalLong term = authority.unfencedTerm();
		if (oldest.isEmpty() || term.isEmpty()) {
			return;
		}
		this.reporting = true;
		SealedWindow window = oldest.get();
		this.reports.report(window, term.getAsLong())
			.thenAccept((taken) -> this.follower.thread().run(() -> onReported(window, term.getAsLong(), taken)));
	}

	private void onReported(SealedWindow window, long term, boolean taken) {
		if (!taken) {
			LOGGER.warn("The report of usage window {} was not taken; it is sent again", window.window());
			this.reporting = false;
			return;
		}
		this.appender.append(new UsageReported(window.window(), window.lease(), term), APPEND_TIMEOUT_MS)
			.thenAccept((decision) -> this.follower.thread().run(() -> this.reporting = false));
	}

}
