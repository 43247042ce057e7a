package io.anvilusher.entry.controller;

import java.util.ArrayDeque;
import java.util.Deque;

import io.anvilusher.adapters.control.ControlFollower;
import io.anvilusher.adapters.control.RecordAppender;
import io.anvilusher.model.fact.IdempotencyExpired;

/**
 * Expires idempotency claims that are older than the retention period of idempotency
 * keys. Log records carry no time, so the controller samples the applied offset at
 * intervals and expires the claims up to the sample that has reached the retention
 * period.
 */
final class ClaimExpiryController implements Controller {

	private static final long APPEND_TIMEOUT_MS = 10_000;

	private static final int SAMPLES_PER_RETENTION = 24;

	private final ControlFollower follower;

	private final RecordAppender appender;

	private final long retentionMs;

	private final Deque<OffsetSample> samples = new ArrayDeque<>();

	ClaimExpiryController(ControlFollower follower, RecordAppender appender, long retentionMs) {
		this.follower = follower;
		this.appender = appender;
		this.retentionMs = retentionMs;
	}

	@Override
	public void reconcile(Authority authority) {
		long nowMs = this.follower.clock().nowMs();
		if (this.samples.isEmpty()
				|| nowMs - this.samples.getLast().sampledAtMs() >= this.retentionMs / SAMPLES_PER_RETENTION) {
			this.samples.addLast(new OffsetSample(nowMs, this.follower.state().appliedOffset()));
		}
		OffsetSample oldest = this.samples.getFirst();
		if (nowMs - oldest.sampledAtMs() < this.retentionMs) {
			return;
		}
		this.samples.removeFirst();
		authority.term()
			.ifPresent((term) -> this.appender.append(new IdempotencyExpired(authority.lease(), term, oldest.offset()),
					APPEND_TIMEOUT_MS));
	}

	private record OffsetSample(long sampledAtMs, long offset) {

	}

}
