package io.anvilusher.adapters.control;

import java.util.UUID;
import java.util.concurrent.CompletableFuture;

import io.anvilusher.adapters.metrics.Meters;
import io.anvilusher.adapters.platform.PlatformLog;
import io.anvilusher.adapters.platform.PlatformLog.AppendResult;
import io.anvilusher.model.fact.Fact;
import io.anvilusher.model.fact.LogRecord;
import io.anvilusher.protocol.codec.RecordCodec;

/**
 * Appends records to the control log and waits until they are read back from it. A record
 * whose append was not confirmed is appended again under the same id; a record that
 * reaches the log twice takes effect only once.
 */
public final class RecordAppender {

	private static final long RETRY_DELAY_MS = 250;

	private final PlatformLog log;

	private final ControlFollower follower;

	private final String writer;

	private final Meters meters;

	/**
	 * Creates an appender.
	 * @param log the control log
	 * @param follower folds the records that are read back
	 * @param writer incarnation of this process, stored in each record
	 * @param meters counts appends by kind of record and outcome
	 */
	public RecordAppender(PlatformLog log, ControlFollower follower, String writer, Meters meters) {
		this.log = log;
		this.follower = follower;
		this.writer = writer;
		this.meters = meters;
	}

	/**
	 * Appends a fact, with retries, until it is read back or the timeout expires.
	 * @param fact the fact
	 * @param timeoutMs time after which the decision is reported as undecided, in ms
	 * @return the decision about the record; never completes exceptionally
	 */
	public CompletableFuture<RecordDecision> append(Fact fact, long timeoutMs) {
		LogRecord record = new LogRecord(UUID.randomUUID().toString(), this.writer, fact);
		CompletableFuture<RecordDecision> result = new CompletableFuture<>();
		this.follower.thread().run(() -> {
			this.follower.awaitDecision(record.id()).thenAccept(result::complete);
			appendOrTimeOut(record, result, this.follower.clock().nowMs() + timeoutMs);
		});
		return result;
	}

	/**
	 * Appends a record once, without a retry and without waiting until it is read back.
	 * @param recordId id of the record
	 * @param fact fact of the record
	 */
	public void appendOnce(String recordId, Fact fact) {
		send(new LogRecord(recordId, this.writer, fact));
	}

	private void appendOrTimeOut(LogRecord record, CompletableFuture<RecordDecision> result, long deadlineMs) {
		if (result.isDone()) {
			return;
		}
		long remainingMs = deadlineMs - this.follower.clock().nowMs();
		if (remainingMs <= 0) {
			this.follower.stopAwaiting(record.id());
			result.complete(new RecordDecision.Undecided());
			return;
		}
		send(record).thenAccept((appendResult) -> this.follower.thread()
			.after(Math.min(remainingMs, nextAttemptDelayMs(appendResult, remainingMs)),
					() -> appendOrTimeOut(record, result, deadlineMs)));
	}

	// Once the log has confirmed the append, the record only has to be read back;
	// appending it again would not help.
	private static long nextAttemptDelayMs(AppendResult appendResult, long remainingMs) {
		return (appendResult instanceof AppendResult.Appended) ? remainingMs : RETRY_DELAY_MS;
	}

	private CompletableFuture<AppendResult> send(LogRecord record) {
		return this.log.append(RecordCodec.encode(record)).thenApply((appendResult) -> {
			this.meters
				.counter("anvilusher.log.appends", "kind", record.fact().getClass().getSimpleName(), "outcome",
						outcome(appendResult))
				.increment();
			return appendResult;
		});
	}

	private static String outcome(AppendResult appendResult) {
		if (appendResult instanceof AppendResult.Appended) {
			return "ok";
		}
		return (appendResult instanceof AppendResult.RateLimited) ? "limited" : "unanswered";
	}

}
