package io.anvilusher.entry.controller;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.UUID;

import io.anvilusher.adapters.control.ControlFollower;
import io.anvilusher.adapters.control.RecordAppender;
import io.anvilusher.adapters.control.RecordDecision;
import io.anvilusher.logic.checkpoint.CheckpointSplitter;
import io.anvilusher.logic.fold.ControlState;
import io.anvilusher.model.fact.CheckpointChunk;
import io.anvilusher.protocol.codec.RecordCodec;

/**
 * Appends checkpoints of the control state to the log, after a number of records or an
 * interval, so that the log's retention never drops records that no complete checkpoint
 * covers. The chunks of a checkpoint are appended one after the other; readers ignore a
 * checkpoint whose writer stopped before the last chunk.
 */
final class CheckpointController implements Controller {

	private static final long APPEND_TIMEOUT_MS = 10_000;

	private final ControlFollower follower;

	private final RecordAppender appender;

	private final long intervalMs;

	private final long maxRecords;

	private final Deque<CheckpointChunk> pendingChunks = new ArrayDeque<>();

	private boolean appending;

	private long lastThroughOffset;

	private long lastStartedAtMs;

	CheckpointController(ControlFollower follower, RecordAppender appender, long intervalMs, long maxRecords) {
		this.follower = follower;
		this.appender = appender;
		this.intervalMs = intervalMs;
		this.maxRecords = maxRecords;
		this.lastStartedAtMs = follower.clock().nowMs();
	}

	@Override
	public void reconcile(Authority authority) {
		if (this.appending) {
			return;
		}
		if (this.pendingChunks.isEmpty() && isDue()) {
			startCheckpoint(authority);
		}
		if (!this.pendingChunks.isEmpty()) {
			appendNextChunk();
		}
	}

	private boolean isDue() {
		long records = this.follower.state().appliedOffset() - this.lastThroughOffset;
		boolean intervalElapsed = this.follower.clock().nowMs() - this.lastStartedAtMs >= this.intervalMs;
		return records >= this.maxRecords || (intervalElapsed && records > 0);
	}

	private void startCheckpoint(Authority authority) {
		ControlState state = this.follower.state();
		this.lastThroughOffset = state.appliedOffset();
		this.lastStartedAtMs = this.follower.clock().nowMs();
		this.pendingChunks.addAll(CheckpointSplitter.split(UUID.randomUUID().toString(), authority.lease(),
				authority.term().orElse(0), state.appliedOffset(), RecordCodec.encodeState(state)));
	}

	private void appendNextChunk() {
		this.appending = true;
		this.appender.append(this.pendingChunks.getFirst(), APPEND_TIMEOUT_MS)
			.thenAccept((decision) -> this.follower.thread().run(() -> {
				this.appending = false;
				if (decision instanceof RecordDecision.Decided) {
					this.pendingChunks.pollFirst();
				}
			}));
	}

}
