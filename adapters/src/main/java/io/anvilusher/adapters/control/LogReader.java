package io.anvilusher.adapters.control;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.anvilusher.adapters.metrics.Meters;
import io.anvilusher.adapters.platform.PlatformLog;
import io.anvilusher.adapters.platform.PlatformLog.RawRecord;
import io.anvilusher.adapters.platform.PlatformLog.ReadResult;

/**
 * Reads the platform's log to its end, again and again.
 */
public final class LogReader {

	private static final Logger LOGGER = LoggerFactory.getLogger(LogReader.class);

	private static final long LONG_POLL_MS = 1000;

	private static final long MIN_RETRY_MS = 100;

	private static final long MAX_RETRY_MS = 1000;

	private final PlatformLog log;

	private final ControlFollower follower;

	private final Meters meters;

	private long retryMs = MIN_RETRY_MS;

	private long scanFrom;

	private volatile boolean stopped;

	/**
	 * Creates a reader.
	 * @param log the log
	 * @param follower folds the records
	 * @param meters counts reads
	 */
	public LogReader(PlatformLog log, ControlFollower follower, Meters meters) {
		this.log = log;
		this.follower = follower;
		this.meters = meters;
	}

	/**
	 * Starts to read.
	 */
	public void start() {
		this.follower.thread().run(this::readNext);
	}

	/**
	 * Stops to read.
	 */
	public void stop() {
		this.stopped = true;
	}

	private void readNext() {
		if (this.stopped) {
			return;
		}
		long startedMs = this.follower.clock().nowMs();
		long from = Math.max(this.scanFrom, this.follower.foldedOffset() + 1);
		this.log.read(from, LONG_POLL_MS)
			.thenAccept((result) -> this.follower.thread().run(() -> handle(result, startedMs, from)));
	}

	private void handle(ReadResult result, long startedMs, long from) {
		if (result instanceof ReadResult.Records records) {
			this.meters.counter("anvilusher.log.reads", "outcome", "ok").increment();
			this.retryMs = MIN_RETRY_MS;
			fold(records, startedMs, from);
			boolean behind = records.endOffset() < this.follower.foldedOffset();
			this.follower.thread().after(behind ? LONG_POLL_MS : 0, this::readNext);
			return;
		}
		ReadResult.Unavailable unavailable = (ReadResult.Unavailable) result;
		this.meters.counter("anvilusher.log.reads", "outcome", "unavailable").increment();
		LOGGER.debug("The log cannot be read: {}", unavailable.cause());
		this.follower.thread().after(this.retryMs, this::readNext);
		this.retryMs = Math.min(this.retryMs * 2, MAX_RETRY_MS);
	}

	private void fold(ReadResult.Records records, long startedMs, long from) {
		long earliest = Math.max(records.earliestOffset(), 1);
		boolean joined = this.follower.offer(records.records(), earliest, records.endOffset(), startedMs);
		if (joined) {
			this.scanFrom = 0;
			return;
		}
		// The records before the oldest kept one are gone: look for a whole checkpoint.
		long last = records.records().stream().mapToLong(RawRecord::offset).max().orElse(from - 1);
		this.scanFrom = Math.max(earliest, last + 1);
	}

}
