package io.anvilusher.entry.controller;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

import io.anvilusher.adapters.control.ControlFollower;
import io.anvilusher.entry.dispatch.UsageMeter;
import io.anvilusher.logic.usage.FlushLedger;
import io.anvilusher.logic.usage.FlushQueue;
import io.anvilusher.model.lease.Lease;
import io.anvilusher.model.usage.UsageLine;
import io.anvilusher.protocol.generated.PeerMessages.Frame;
import io.anvilusher.protocol.generated.PeerMessages.UsageFlush;
import io.anvilusher.protocol.generated.PeerMessages.WorkspaceUsage;
import io.anvilusher.protocol.transport.PeerConnection;

/**
 * Sends the usage counted by this entry to the holder of the region's lease until a
 * sealed usage window contains it. Used on the control thread, except for
 * {@link #onFlush}.
 */
public final class UsageFlusher {

	private static final long FLUSH_INTERVAL_MS = 2000;

	/** Time after which a flush that no sealed window contains is sent again. */
	private static final long RESEND_AFTER_MS = 30_000;

	private final String incarnation;

	private final ControlFollower follower;

	private final UsageMeter meter;

	private final FlushLedger ledger;

	private final Function<String, Optional<PeerConnection>> entries;

	private final FlushQueue queue = new FlushQueue();

	private final Map<Long, SentFlush> sentFlushes = new HashMap<>();

	private String lease = "";

	/**
	 * Creates a flusher.
	 * @param incarnation incarnation of this entry
	 * @param follower the control state
	 * @param meter counts the usage of this entry
	 * @param ledger collects usage while this entry holds the lease
	 * @param entries finds the connection to another entry by its incarnation
	 */
	UsageFlusher(String incarnation, ControlFollower follower, UsageMeter meter, FlushLedger ledger,
			Function<String, Optional<PeerConnection>> entries) {
		this.incarnation = incarnation;
		this.follower = follower;
		this.meter = meter;
		this.ledger = ledger;
		this.entries = entries;
	}

	void start(String leaseName) {
		this.lease = leaseName;
		this.follower.thread().every(FLUSH_INTERVAL_MS, this::flush);
	}

	void flush() {
		this.queue.add(this.meter.fetchAndReset());
		long sealedThrough = this.follower.state().usage().flushedThrough(this.incarnation);
		this.queue.onSealedThrough(sealedThrough);
		this.sentFlushes.keySet().removeIf((sequence) -> sequence <= sealedThrough);
		Optional<Lease> holder = this.follower.state().leases().find(this.lease);
		holder.filter((held) -> !held.released())
			.ifPresent(
					(held) -> this.queue.open().forEach((sequence, lines) -> sendTo(held.holder(), sequence, lines)));
	}

	private void sendTo(String holder, long sequence, List<UsageLine> lines) {
		long nowMs = this.follower.clock().nowMs();
		SentFlush previous = this.sentFlushes.get(sequence);
		if (previous != null && previous.holder().equals(holder) && nowMs - previous.sentAtMs() < RESEND_AFTER_MS) {
			return;
		}
		this.sentFlushes.put(sequence, new SentFlush(holder, nowMs));
		if (holder.equals(this.incarnation)) {
			this.ledger.add(this.incarnation, sequence, lines);
			return;
		}
		this.entries.apply(holder).ifPresent((connection) -> connection.send(frame(sequence, lines)));
	}

	private Frame frame(long sequence, List<UsageLine> lines) {
		UsageFlush.Builder flush = UsageFlush.newBuilder().setEntryIncarnation(this.incarnation).setSequence(sequence);
		lines.forEach((line) -> flush.addUsage(WorkspaceUsage.newBuilder()
			.setWorkspace(line.workspace())
			.setService(line.service())
			.setRequests(line.requests())
			.setPromptTokens(line.promptTokens())
			.setOutputTokens(line.outputTokens())));
		return Frame.newBuilder().setUsageFlush(flush).build();
	}

	/**
	 * Adds a flush of another entry to the ledger. May be called on any thread.
	 * @param flush the usage that the other entry has sent
	 */
	public void onFlush(UsageFlush flush) {
		List<UsageLine> lines = flush.getUsageList()
			.stream()
			.map((usage) -> new UsageLine(usage.getWorkspace(), usage.getService(), usage.getRequests(),
					usage.getPromptTokens(), usage.getOutputTokens()))
			.toList();
		this.follower.thread().run(() -> this.ledger.add(flush.getEntryIncarnation(), flush.getSequence(), lines));
	}

	private record SentFlush(String holder, long sentAtMs) {

	}

}
