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
 * Hands this entry's counts to the holder of the region's lease until a sealed window
 * contains them. Used on the control thread.
 */
public final class UsageFlusher {

	private static final long FLUSH_MS = 2000;

	/** Time after which counts that no window contains are handed over again. */
	private static final long REPEAT_MS = 30_000;

	private final String incarnation;

	private final ControlFollower follower;

	private final UsageMeter meter;

	private final FlushLedger ownLedger;

	private final Function<String, Optional<PeerConnection>> entries;

	private final FlushQueue queue = new FlushQueue();

	private final Map<Long, Handed> handed = new HashMap<>();

	private String lease = "";

	/**
	 * Creates a flusher.
	 * @param incarnation incarnation of this entry
	 * @param follower the control state
	 * @param meter holds the counts
	 * @param ownLedger takes the counts when this entry holds the lease
	 * @param entries finds the connection to another entry by its incarnation
	 */
	UsageFlusher(String incarnation, ControlFollower follower, UsageMeter meter, FlushLedger ownLedger,
			Function<String, Optional<PeerConnection>> entries) {
		this.incarnation = incarnation;
		this.follower = follower;
		this.meter = meter;
		this.ownLedger = ownLedger;
		this.entries = entries;
	}

	void start(String leaseName) {
		this.lease = leaseName;
		this.follower.thread().every(FLUSH_MS, this::flush);
	}

	void flush() {
		this.queue.add(this.meter.take());
		long sealedThrough = this.follower.state().usage().flushedThrough(this.incarnation);
		this.queue.onSealedThrough(sealedThrough);
		this.handed.keySet().removeIf((sequence) -> sequence <= sealedThrough);
		Optional<Lease> holder = this.follower.state().leases().find(this.lease);
		holder.filter((held) -> !held.released())
			.ifPresent((held) -> this.queue.open().forEach((sequence, lines) -> hand(held.holder(), sequence, lines)));
	}

	private void hand(String holder, long sequence, List<UsageLine> lines) {
		long nowMs = this.follower.clock().nowMs();
		Handed before = this.handed.get(sequence);
		if (before != null && before.holder().equals(holder) && nowMs - before.atMs() < REPEAT_MS) {
			return;
		}
		this.handed.put(sequence, new Handed(holder, nowMs));
		if (holder.equals(this.incarnation)) {
			this.ownLedger.add(this.incarnation, sequence, lines);
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
	 * Takes in the counts of another entry.
	 * @param flush the counts
	 */
	public void onFlush(UsageFlush flush) {
		List<UsageLine> lines = flush.getUsageList()
			.stream()
			.map((usage) -> new UsageLine(usage.getWorkspace(), usage.getService(), usage.getRequests(),
					usage.getPromptTokens(), usage.getOutputTokens()))
			.toList();
		this.follower.thread().run(() -> this.ownLedger.add(flush.getEntryIncarnation(), flush.getSequence(), lines));
	}

	private record Handed(String holder, long atMs) {

	}

}
