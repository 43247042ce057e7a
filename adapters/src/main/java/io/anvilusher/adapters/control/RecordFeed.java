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
 * Brings records to processes that do not read the log themselves. A process that has
 * asked once is sent each further record unasked.
 */
public final class RecordFeed {

	private final ControlFollower follower;

	private final Map<PeerConnection, Long> sentThrough = new HashMap<>();

	private boolean pushPlanned;

	/**
	 * Creates a feed.
	 * @param follower holds the records
	 */
	public RecordFeed(ControlFollower follower) {
		this.follower = follower;
		follower.addListener(this::onState);
	}

	/**
	 * Answers a request for records.
	 * @param connection connection that the request came from
	 * @param request the request
	 */
	public void onRequest(PeerConnection connection, RecordsRequest request) {
		this.follower.thread().run(() -> {
			connection.send(reply(request.getFromOffset(), request.getRequestId()));
			this.sentThrough.put(connection, this.follower.state().appliedOffset());
		});
	}

	/**
	 * Ends the subscription of a connection.
	 * @param connection the connection
	 */
	public void onClosed(PeerConnection connection) {
		this.follower.thread().run(() -> this.sentThrough.remove(connection));
	}

	private void onState(ControlState before, ControlState after) {
		if (!this.pushPlanned && !this.sentThrough.isEmpty()) {
			this.pushPlanned = true;
			this.follower.thread().run(this::push);
		}
	}

	private void push() {
		this.pushPlanned = false;
		long end = this.follower.state().appliedOffset();
		Map<Long, Frame> frames = new HashMap<>();
		this.sentThrough.forEach((connection, through) -> {
			if (through < end) {
				connection.send(frames.computeIfAbsent(through, (offset) -> reply(offset + 1, 0)));
			}
		});
		this.sentThrough.replaceAll((connection, through) -> end);
	}

	private Frame reply(long fromOffset, long requestId) {
		ControlState state = this.follower.state();
		long ageMs = this.follower.ageMs();
		RecordsReply.Builder reply = RecordsReply.newBuilder()
			.setRequestId(requestId)
			.setFromOffset(fromOffset)
			.setEndOffset(state.appliedOffset())
			.setLogAgeMs((ageMs == Long.MAX_VALUE) ? -1 : ageMs);
		Optional<List<RawRecord>> records = this.follower.recentFrom(fromOffset);
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
