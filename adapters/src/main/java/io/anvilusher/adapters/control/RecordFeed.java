package io.anvilusher.adapters.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.google.protobuf.ByteString;

import io.anvilusher.adapters.platform.PlatformLog.RawRecord;
import io.anvilusher.logic.fold.ControlState;
import io.anvilusher.protocol.codec.RecordCodec;
import io.anvilusher.protocol.generated.PeerMessages.Frame;
import io.anvilusher.protocol.generated.PeerMessages.LogEntry;
import io.anvilusher.protocol.generated.PeerMessages.RecordsReply;
import io.anvilusher.protocol.generated.PeerMessages.RecordsRequest;
import io.anvilusher.protocol.transport.PeerConnection;

/**
 * Sends control log records to processes that do not read the log themselves. A process
 * that has requested records once is sent all later records without another request.
 */
public final class RecordFeed {

	private final ControlFollower follower;

	private final Map<PeerConnection, Long> sentThroughOffsets = new HashMap<>();

	private boolean pushScheduled;

	/**
	 * Creates a feed.
	 * @param follower source of the records
	 */
	public RecordFeed(ControlFollower follower) {
		this.follower = follower;
		follower.addListener(this::onState);
	}

	/**
	 * Replies to a request for records and subscribes its connection to later ones.
	 * @param connection connection that the request came from
	 * @param request the request
	 */
	public void onRequest(PeerConnection connection, RecordsRequest request) {
		this.follower.thread().run(() -> {
			connection.send(reply(request.getFromOffset(), request.getRequestId()));
			this.sentThroughOffsets.put(connection, this.follower.state().appliedOffset());
		});
	}

	/**
	 * Ends the subscription of a connection.
	 * @param connection the connection
	 */
	public void onClosed(PeerConnection connection) {
		this.follower.thread().run(() -> this.sentThroughOffsets.remove(connection));
	}

	private void onState(ControlState before, ControlState after) {
		if (!this.pushScheduled && !this.sentThroughOffsets.isEmpty()) {
			this.pushScheduled = true;
			this.follower.thread().run(this::push);
		}
	}

	private void push() {
		this.pushScheduled = false;
		long endOffset = this.follower.state().appliedOffset();
		Map<Long, Frame> frames = new HashMap<>();
		this.sentThroughOffsets.forEach((connection, sentThrough) -> {
			if (sentThrough < endOffset) {
				connection.send(frames.computeIfAbsent(sentThrough, (offset) -> reply(offset + 1, 0)));
			}
		});
		this.sentThroughOffsets.replaceAll((connection, sentThrough) -> endOffset);
	}

	private Frame reply(long fromOffset, long requestId) {
		ControlState state = this.follower.state();
		long ageMs = this.follower.ageMs();
		RecordsReply.Builder reply = RecordsReply.newBuilder()
			.setRequestId(requestId)
			.setFromOffset(fromOffset)
			.setEndOffset(state.appliedOffset())
			.setLogAgeMs((ageMs == Long.MAX_VALUE) ? -1 : ageMs);
		Optional<List<RawRecord>> records = this.follower.recentRecordsFrom(fromOffset);
		if (records.isPresent()) {
			records.get().forEach((raw) -> reply.addEntries(entry(raw)));
		}
		else {
			reply.setSnapshot(ByteString.copyFrom(RecordCodec.encodeState(state)));
		}
		return Frame.newBuilder().setRecordsReply(reply).build();
	}

	private static LogEntry entry(RawRecord raw) {
		return LogEntry.newBuilder().setOffset(raw.offset()).setRecord(ByteString.copyFrom(raw.bytes())).build();
	}

}
