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
 * Receives records from other processes. One source at a time is asked; when it does not
 * answer, or does not reach the log itself, the next one is.
 */
public final class RecordSubscription {

	/**
	 * How much older than two questions the state may be before the next source is asked.
	 */
	private static final long STALE_MARGIN_MS = 1000;

	private final ControlFollower follower;

	private final BooleanSupplier needed;

	private final long pollMs;

	private final List<PeerConnection> sources = new ArrayList<>();

	private int current;

	private long requestId;

	private long requestedAtMs;

	private boolean answered = true;

	private volatile long answeredAtMs = Long.MIN_VALUE;

	/**
	 * Creates a subscription without sources.
	 * @param follower folds the records
	 * @param needed tells whether records are to be asked for now
	 * @param pollMs time between two questions; new records come unasked in between
	 */
	public RecordSubscription(ControlFollower follower, BooleanSupplier needed, long pollMs) {
		this.pollMs = pollMs;
		this.follower = follower;
		this.needed = needed;
	}

	/**
	 * Starts to ask.
	 */
	public void start() {
		this.follower.thread().every(this.pollMs, this::poll);
	}

	/**
	 * Adds a source and asks it at once if it is the first.
	 * @param connection connection to the source
	 */
	public void onOpen(PeerConnection connection) {
		this.follower.thread().run(() -> {
			this.sources.add(connection);
			if (this.sources.size() == 1) {
				this.answered = true;
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
			this.answered = true;
		});
	}

	/**
	 * Takes in records.
	 * @param connection connection that they came from
	 * @param reply the records
	 */
	public void onReply(PeerConnection connection, RecordsReply reply) {
		this.follower.thread().run(() -> fold(reply));
	}

	/**
	 * Tells whether a source has answered lately, whether or not it reaches the log.
	 * @param withinMs how lately
	 * @return whether one has
	 */
	public boolean hasAnswered(long withinMs) {
		return this.answeredAtMs != Long.MIN_VALUE && this.follower.clock().nowMs() - this.answeredAtMs <= withinMs;
	}

	private void poll() {
		if (this.sources.isEmpty() || !this.needed.getAsBoolean()) {
			return;
		}
		if (!this.answered || this.follower.ageMs() > 2 * this.pollMs + STALE_MARGIN_MS) {
			this.current++;
		}
		this.answered = false;
		this.requestId++;
		this.requestedAtMs = this.follower.clock().nowMs();
		RecordsRequest request = RecordsRequest.newBuilder()
			.setFromOffset(this.follower.foldedOffset() + 1)
			.setRequestId(this.requestId)
			.build();
		this.sources.get(Math.floorMod(this.current, this.sources.size()))
			.send(Frame.newBuilder().setRecordsRequest(request).build());
	}

	private void fold(RecordsReply reply) {
		if (!reply.getSnapshot().isEmpty()) {
			RecordCodec.decodeState(reply.getSnapshot().toByteArray()).ifPresent(this.follower::adopt);
		}
		List<RawRecord> records = reply.getEntriesList()
			.stream()
			.map((entry) -> new RawRecord(entry.getOffset(), entry.getRecord().toByteArray()))
			.toList();
		this.follower.offer(records, reply.getFromOffset(), reply.getEndOffset(), knownAtMs(reply));
	}

	/**
	 * The age that a reply states is counted from when it was asked for, so that the time
	 * on the way makes the state older and never fresher.
	 * @param reply the reply
	 * @return time at which the reply's end was surely the log's end
	 */
	private long knownAtMs(RecordsReply reply) {
		if (reply.getRequestId() != this.requestId) {
			return Long.MIN_VALUE;
		}
		this.answered = true;
		this.answeredAtMs = this.follower.clock().nowMs();
		return (reply.getLogAgeMs() < 0) ? Long.MIN_VALUE : this.requestedAtMs - reply.getLogAgeMs();
	}

}
