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
 * Appends records and waits until they are read back. A record without an answer is
 * appended again under the same id, which cannot take effect twice.
 */
public final class RecordAppender {

	private static final long RETRY_MS = 250;

	private final PlatformLog log;

	private final ControlFollower follower;

	private final String writer;

	private final Meters meters;

	/**
	 * Creates an appender.
	 * @param log the log
	 * @param follower reads the records back
	 * @param writer incarnation of this process
	 * @param meters counts appends by kind of record
	 */
	public RecordAppender(PlatformLog log, ControlFollower follower, String writer, Meters meters) {
		this.log = log;
		this.follower = follower;
		this.writer = writer;
		this.meters = meters;
	}

	/**
	 * Appends a fact until it is read back or the time is over.
	 * @param fact the fact
	 * @param timeoutMs longest time to go on
	 * @return what became of it; never fails exceptionally
	 */
	public CompletableFuture<RecordDecision> append(Fact fact, long timeoutMs) {
		LogRecord record = new LogRecord(UUID.randomUUID().toString(), this.writer, fact);
		CompletableFuture<RecordDecision> result = new CompletableFuture<>();
		this.follower.thread().run(() -> {
			this.follower.await(record.id()).thenAccept(result::complete);
			attempt(record, result, this.follower.clock().nowMs() + timeoutMs);
		});
		return result;
	}

	/**
	 * Appends a record once and does not wait for it.
	 * @param recordId id of the record
	 * @param fact its fact
	 */
	public void appendOnce(String recordId, Fact fact) {
		send(new LogRecord(recordId, this.writer, fact));
	}

	private void attempt(LogRecord record, CompletableFuture<RecordDecision> result, long untilMs) {
		if (result.isDone()) {
			return;
		}
		long leftMs = untilMs - this.follower.clock().nowMs();
		if (leftMs <= 0) {
			this.follower.forget(record.id());
			result.complete(new RecordDecision.Undecided());
			return;
		}
		send(record).thenAccept((sent) -> this.follower.thread()
			.after(Math.min(leftMs, delayAfter(sent, leftMs)), () -> attempt(record, result, untilMs)));
	}

	// After an answer only the reading back is missing: another append is of no use.
	private static long delayAfter(AppendResult sent, long leftMs) {
		return (sent instanceof AppendResult.Appended) ? leftMs : RETRY_MS;
	}

	private CompletableFuture<AppendResult> send(LogRecord record) {
		return this.log.append(RecordCodec.encode(record)).thenApply((sent) -> {
			this.meters
				.counter("anvilusher.log.appends", "kind", record.fact().getClass().getSimpleName(), "outcome",
						outcome(sent))
				.increment();
			return sent;
		});
	}

	private static String outcome(AppendResult sent) {
		if (sent instanceof AppendResult.Appended) {
			return "ok";
		}
		return (sent instanceof AppendResult.Limited) ? "limited" : "unanswered";
	}

}
