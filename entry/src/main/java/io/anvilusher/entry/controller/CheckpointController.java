package io.anvilusher.entry.controller;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.UUID;

import io.anvilusher.adapters.control.ControlFollower;
import io.anvilusher.adapters.control.RecordAppender;
import io.anvilusher.adapters.control.RecordDecision;
import io.anvilusher.logic.checkpoint.CheckpointWriter;
import io.anvilusher.logic.fold.ControlState;
import io.anvilusher.model.fact.CheckpointChunk;
import io.anvilusher.protocol.codec.RecordCodec;

/**
 * Writes the state back to the log, after a number of records or an interval, so that the
 * log's retention period never ends before a whole checkpoint of what it drops. The parts
 * are appended one after the other; a writer that stops half-way leaves parts that no
 * reader uses.
 */
final class CheckpointController implements Controller {

	private static final long APPEND_TIMEOUT_MS = 10_000;

	private final ControlFollower follower;

	private final RecordAppender appender;

	private final long intervalMs;

	private final long maxRecords;

	private final Deque<CheckpointChunk> open = new ArrayDeque<>();

	private boolean appending;

	private long lastThroughOffset;

	private long lastAtMs;

	CheckpointController(ControlFollower follower, RecordAppender appender, long intervalMs, long maxRecords) {
		this.follower = follower;
		this.appender = appender;
		this.intervalMs = intervalMs;
		this.maxRecords = maxRecords;
		this.lastAtMs = follower.clock().nowMs();
	}

	@Override
	public void step(Authority authority) {
		if (this.appending) {
			return;
		}
		if (this.open.isEmpty() && isDue()) {
			cut(authority);
		}
		if (!this.open.isEmpty()) {
			appendNext();
		}
	}

	private boolean isDue() {
		long records = this.follower.state().appliedOffset() - this.lastThroughOffset;
		boolean late = this.follower.clock().nowMs() - this.lastAtMs >= this.intervalMs;
		return records >= this.maxRecords || (late && records > 0);
	}

	private void cut(Authority authority) {
		ControlState state = this.follower.state();
		this.lastThroughOffset = state.appliedOffset();
		this.lastAtMs = this.follower.clock().nowMs();
		this.open.addAll(CheckpointWriter.cut(UUID.randomUUID().toString(), authority.lease(),
				authority.term().orElse(0), state.appliedOffset(), RecordCodec.encodeState(state)));
	}

	private void appendNext() {
		this.appending = true;
		this.appender.append(this.open.getFirst(), APPEND_TIMEOUT_MS)
			.thenAccept((decision) -> this.follower.thread().run(() -> {
				this.appending = false;
				if (decision instanceof RecordDecision.Decided) {
					this.open.pollFirst();
				}
			}));
	}

}
