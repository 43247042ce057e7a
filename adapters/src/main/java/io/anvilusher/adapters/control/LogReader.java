package io.anvilusher.adapters.control;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.anvilusher.adapters.metrics.Meters;
import io.anvilusher.adapters.platform.PlatformLog;
import io.anvilusher.adapters.platform.PlatformLog.RawRecord;
import io.anvilusher.adapters.platform.PlatformLog.ReadResult;

/**
 * Reads the control log continuously by long polling and hands its records to the
 * follower. Failed reads are retried with exponential backoff.
 */
public final class LogReader {

	private static final Logger LOGGER = LoggerFactory.getLogger(LogReader.class);

	private static final long LONG_POLL_MS = 1000;

	private static final long MIN_RETRY_DELAY_MS = 100;

	private static final long MAX_RETRY_DELAY_MS = 1000;

	private final PlatformLog log;

	private final ControlFollower follower;

	private final Meters meters;

	private long retryDelayMs = MIN_RETRY_DELAY_MS;

	private long checkpointScanOffset;

	private volatile boolean stopped;

	/**
	 * Creates a reader.
	 * @param log the control log
	 * @param follower folds the records
	 * @param meters counts reads by outcome
	 */
	public LogReader(PlatformLog log, ControlFollower follower, Meters meters) {
		this.log = log;
		this.follower = follower;
		this.meters = meters;
	}

	/**
	 * Starts reading.
	 */
	public void start() {
		this.follower.thread().run(this::readNext);
	}

	/**
	 * Stops reading after the read in progress, whose records are still folded.
	 */
	public void stop() {
		this.stopped = true;
	}

	private void readNext() {
		if (this.stopped) {
			return;
		}
		long readStartedMs = this.follower.clock().nowMs();
		long fromOffset = Math.max(this.checkpointScanOffset, this.follower.foldedOffset() + 1);
		this.log.read(fromOffset, LONG_POLL_MS)
			.thenAccept((result) -> this.follower.thread().run(() -> handle(result, readStartedMs, fromOffset)));
	}

	private void handle(ReadResult result, long readStartedMs, long fromOffset) {
		if (result instanceof ReadResult.Records records) {
			this.meters.counter("anvilusher.log.reads", "outcome", "ok").increment();
			this.retryDelayMs = MIN_RETRY_DELAY_MS;
			fold(records, readStartedMs, fromOffset);
			boolean logRegressed = records.endOffset() < this.follower.foldedOffset();
			this.follower.thread().after(logRegressed ? LONG_POLL_MS : 0, this::readNext);
			return;
		}
		ReadResult.Unavailable unavailable = (ReadResult.Unavailable) result;
		this.meters.counter("anvilusher.log.reads", "outcome", "unavailable").increment();
		LOGGER.debug("Control log cannot be read: {}; retrying", unavailable.cause());
		this.follower.thread().after(this.retryDelayMs, this::readNext);
		this.retryDelayMs = Math.min(this.retryDelayMs * 2, MAX_RETRY_DELAY_MS);
	}

	private void fold(ReadResult.Records records, long readStartedMs, long fromOffset) {
		long earliestOffset = Math.max(records.earliestOffset(), 1);
		boolean continued = this.follower.foldRecords(records.records(), earliestOffset, records.endOffset(),
				readStartedMs);
		if (continued) {
			this.checkpointScanOffset = 0;
			return;
		}
		// The records between the folded state and the oldest one in the log are no
		// longer available, so the log is scanned for a complete checkpoint.
		long lastOffset = records.records().stream().mapToLong(RawRecord::offset).max().orElse(fromOffset - 1);
		this.checkpointScanOffset = Math.max(earliestOffset, lastOffset + 1);
	}

}
