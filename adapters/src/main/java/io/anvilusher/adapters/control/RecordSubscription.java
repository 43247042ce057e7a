package io.anvilusher.adapters.control;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

import io.anvilusher.adapters.platform.PlatformLog.RawRecord;
import io.anvilusher.protocol.codec.RecordCodec;
import io.anvilusher.protocol.generated.PeerMessages.Frame;
import io.anvilusher.protocol.generated.PeerMessages.RecordsReply;
import io.anvilusher.protocol.generated.PeerMessages.RecordsRequest;
import io.anvilusher.protocol.transport.PeerConnection;

/**
 * Receives control log records from other processes. One source at a time is polled; if
 * it did not reply to the last poll, or cannot reach the log itself, the next source is
 * polled instead.
 */
public final class RecordSubscription {

	/**
	 * Time by which the state may be older than two poll periods before the next source
	 * is polled.
	 */
	private static final long STALE_MARGIN_MS = 1000;

	private final ControlFollower follower;

	private final BooleanSupplier needed;

	private final long pollMs;

	private final List<PeerConnection> sources = new ArrayList<>();

	private int sourceIndex;

	private long requestId;

	private long requestedAtMs;

	private boolean replied = true;

	private volatile long lastReplyAtMs = Long.MIN_VALUE;

	/**
	 * Creates a subscription without sources.
	 * @param follower folds the records
	 * @param needed returns whether to poll at present
	 * @param pollMs time between two polls, in ms; new records are pushed in between
	 */
	public RecordSubscription(ControlFollower follower, BooleanSupplier needed, long pollMs) {
		this.pollMs = pollMs;
		this.follower = follower;
		this.needed = needed;
	}

	/**
	 * Starts polling.
	 */
	public void start() {
		this.follower.thread().every(this.pollMs, this::poll);
	}

	/**
	 * Adds a source and polls it at once if it is the only one.
	 * @param connection connection to the source
	 */
	public void onOpen(PeerConnection connection) {
		this.follower.thread().run(() -> {
			this.sources.add(connection);
			if (this.sources.size() == 1) {
				this.replied = true;
				poll();
			}
		});
	}

	/**
	 * Removes a source.
	 * @param connection connection to the source
	 */
	public void onClosed(PeerConnection connection) {
		this.follower.thread().run(() -> {
			this.sources.remove(connection);
			this.replied = true;
		});
	}

	/**
	 * Folds the records of a reply or a push.
	 * @param connection connection that the records came from
	 * @param reply the records
	 */
	public void onReply(PeerConnection connection, RecordsReply reply) {
		this.follower.thread().run(() -> fold(reply));
	}

	/**
	 * Returns whether a source replied to a poll recently, whether or not it can reach
	 * the log.
	 * @param withinMs longest time since the reply, in ms
	 * @return whether a source replied within that time
	 */
	public boolean hasRepliedWithin(long withinMs) {
		return this.lastReplyAtMs != Long.MIN_VALUE && this.follower.clock().nowMs() - this.lastReplyAtMs <= withinMs;
	}

	private void poll() {
		if (this.sources.isEmpty() || !this.needed.getAsBoolean()) {
			return;
		}
		if (!this.replied || this.follower.ageMs() > 2 * this.pollMs + STALE_MARGIN_MS) {
			this.sourceIndex++;
		}
		this.replied = false;
		this.requestId++;
		this.requestedAtMs = this.follower.clock().nowMs();
		RecordsRequest request = RecordsRequest.newBuilder()
			.setFromOffset(this.follower.foldedOffset() + 1)
			.setRequestId(this.requestId)
			.build();
		this.sources.get(Math.floorMod(this.sourceIndex, this.sources.size()))
			.send(Frame.newBuilder().setRecordsRequest(request).build());
	}

	private void fold(RecordsReply reply) {
		if (!reply.getSnapshot().isEmpty()) {
			RecordCodec.decodeState(reply.getSnapshot().toByteArray()).ifPresent(this.follower::replaceIfNewer);
		}
		List<RawRecord> records = reply.getEntriesList()
			.stream()
			.map((entry) -> new RawRecord(entry.getOffset(), entry.getRecord().toByteArray()))
			.toList();
		this.follower.foldRecords(records, reply.getFromOffset(), reply.getEndOffset(), knownAtMs(reply));
	}

	/**
	 * Returns when the end offset of a reply was certainly the end of the log. The age in
	 * the reply is counted back from the time of the request, so that network delay can
	 * only make the state appear older than it is.
	 * @param reply the reply
	 * @return the time, or {@link Long#MIN_VALUE} if it is not known
	 */
	private long knownAtMs(RecordsReply reply) {
		if (reply.getRequestId() != this.requestId) {
			return Long.MIN_VALUE;
		}
		this.replied = true;
		this.lastReplyAtMs = this.follower.clock().nowMs();
		return (reply.getLogAgeMs() < 0) ? Long.MIN_VALUE : this.requestedAtMs - reply.getLogAgeMs();
	}

}
