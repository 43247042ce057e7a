package io.anvilusher.entry.controller;

import java.util.ArrayDeque;
import java.util.Deque;

import io.anvilusher.adapters.control.ControlFollower;
import io.anvilusher.adapters.control.RecordAppender;
import io.anvilusher.model.fact.IdempotencyExpired;

/**
 * Ends idempotency claims that are older than the retention period of idempotency keys.
 */
final class ClaimExpiryController implements Controller {

	private static final long APPEND_TIMEOUT_MS = 10_000;

	private static final int MARKS_PER_RETENTION = 24;

	private final ControlFollower follower;

	private final RecordAppender appender;

	private final long retentionMs;

	private final Deque<Mark> marks = new ArrayDeque<>();

	ClaimExpiryController(ControlFollower follower, RecordAppender appender, long retentionMs) {
		this.follower = follower;
		this.appender = appender;
		this.retentionMs = retentionMs;
	}

	@Override
	public void step(Authority authority) {
		long nowMs = this.follower.clock().nowMs();
		if (this.marks.isEmpty() || nowMs - this.marks.getLast().atMs() >= this.retentionMs / MARKS_PER_RETENTION) {
			this.marks.addLast(new Mark(nowMs, this.follower.state().appliedOffset()));
		}
		Mark oldest = this.marks.getFirst();
		if (nowMs - oldest.atMs() < this.retentionMs) {
			return;
		}
		this.marks.removeFirst();
		authority.term()
			.ifPresent((term) -> this.appender.append(new IdempotencyExpired(authority.lease(), term, oldest.offset()),
					APPEND_TIMEOUT_MS));
	}

	private record Mark(long atMs, long offset) {

	}

}
