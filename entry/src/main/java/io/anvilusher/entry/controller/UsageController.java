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
 * Seals usage windows in the log and reports them to the platform exactly as sealed, the
 * oldest window first.
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

	private boolean sealInProgress;

	private boolean reportInProgress;

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
	public void reconcile(Authority authority) {
		if (!this.sealInProgress && this.follower.clock().nowMs() >= this.nextSealAtMs) {
			authority.term().ifPresent((term) -> seal(authority.lease(), term));
		}
		if (!this.reportInProgress) {
			reportOldest(authority);
		}
	}

	private void seal(String lease, long term) {
		this.nextSealAtMs = this.follower.clock().nowMs() + this.windowMs;
		UsageState usage = this.follower.state().usage();
		FlushLedger.Window window = this.ledger.next(usage);
		if (window.lines().isEmpty()) {
			return;
		}
		this.sealInProgress = true;
		this.appender
			.append(new UsageSealed(usage.nextWindow(lease), lease, term, window.lines(), window.flushedThrough()),
					APPEND_TIMEOUT_MS)
			.thenAccept((decision) -> this.follower.thread().run(() -> this.sealInProgress = false));
	}

	private void reportOldest(Authority authority) {
		Optional<SealedWindow> oldest = this.follower.state()
			.usage()
			.unreported()
			.values()
			.stream()
			.filter((window) -> window.lease().equals(authority.lease()))
			.findFirst();
		// Read last, so that little time passes between this check and the call.
		OptionalLong term = authority.unfencedTerm();
		if (oldest.isEmpty() || term.isEmpty()) {
			return;
		}
		this.reportInProgress = true;
		SealedWindow window = oldest.get();
		this.reports.report(window, term.getAsLong())
			.thenAccept((accepted) -> this.follower.thread().run(() -> onReported(window, term.getAsLong(), accepted)));
	}

	private void onReported(SealedWindow window, long term, boolean accepted) {
		if (!accepted) {
			LOGGER.warn("Usage window {} was not accepted by the platform; its report is sent again", window.window());
			this.reportInProgress = false;
			return;
		}
		this.appender.append(new UsageReported(window.window(), window.lease(), term), APPEND_TIMEOUT_MS)
			.thenAccept((decision) -> this.follower.thread().run(() -> this.reportInProgress = false));
	}

}
