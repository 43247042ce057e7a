package io.anvilusher.logic.lease;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;

import io.anvilusher.logic.fold.LeaseState;
import io.anvilusher.model.fact.Fact;
import io.anvilusher.model.fact.LeaseClaimed;
import io.anvilusher.model.fact.LeaseReleased;
import io.anvilusher.model.fact.LeaseRenewed;
import io.anvilusher.model.lease.Lease;

/**
 * One process's part in one lease. It is told of each folded state and asked for the next
 * record to append; it does no I/O and reads no clock. Used from one thread.
 *
 * <p>
 * A claim names the newest record of the lease that the claimant has read, so that a
 * renewal that lands before it makes it void. A holder trusts a record only once it was
 * read back, counted from before it was sent; a challenger counts from after it read the
 * newest record. So a claim can land only after its predecessor's trust has ended.
 */
public class LeaseAgent {

	private static final int MAX_SENT_RECORDS = 64;

	private final String lease;

	private final String incarnation;

	private final LeaseTiming timing;

	private final Supplier<String> recordIds;

	private final Map<String, Long> sentAtMs = new HashMap<>();

	private Optional<Lease> newest = Optional.empty();

	private long observedAtMs;

	private long trustedUntilMs = Long.MIN_VALUE;

	private OptionalLong termStartedAtMs = OptionalLong.empty();

	private long nextAppendAtMs;

	private boolean stopping;

	/**
	 * Creates the part of a process that holds nothing.
	 * @param lease name of the lease
	 * @param incarnation incarnation of the process
	 * @param timing times of the lease
	 * @param recordIds source of random record ids
	 * @param nowMs the process's monotonic time
	 */
	public LeaseAgent(String lease, String incarnation, LeaseTiming timing, Supplier<String> recordIds, long nowMs) {
		this.lease = lease;
		this.incarnation = incarnation;
		this.timing = timing;
		this.recordIds = recordIds;
		this.observedAtMs = nowMs;
	}

	/**
	 * Tells the agent of a folded state.
	 * @param nowMs monotonic time, read after the state was
	 * @param state the leases
	 */
	public void onState(long nowMs, LeaseState state) {
		Optional<Lease> read = state.find(this.lease);
		if (read.equals(this.newest)) {
			return;
		}
		this.newest = read;
		this.observedAtMs = nowMs;
		read.ifPresent(this::learn);
	}

	private void learn(Lease read) {
		if (!isOwn(read)) {
			this.termStartedAtMs = OptionalLong.empty();
			this.trustedUntilMs = Long.MIN_VALUE;
			return;
		}
		Long sent = this.sentAtMs.get(read.lastRecordId());
		if (sent == null || read.released()) {
			return;
		}
		this.trustedUntilMs = Math.max(this.trustedUntilMs, sent + this.timing.holderTrustMs());
		if (this.termStartedAtMs.isEmpty()) {
			this.termStartedAtMs = OptionalLong.of(this.observedAtMs);
		}
	}

	/**
	 * Decides on the next record to append.
	 * @param nowMs monotonic time, read before the record is sent
	 * @return the record, or empty if there is nothing to append
	 */
	public Optional<LeaseAction> next(long nowMs) {
		if (this.stopping || nowMs < this.nextAppendAtMs) {
			return Optional.empty();
		}
		if (this.newest.filter(this::isOwn).isPresent()) {
			return Optional.of(send(nowMs, new LeaseRenewed(this.lease, this.newest.get().term())));
		}
		if (!mayClaim(nowMs)) {
			return Optional.empty();
		}
		long base = this.newest.map(Lease::lastOffset).orElse(0L);
		return Optional.of(send(nowMs, new LeaseClaimed(this.lease, this.incarnation, base, this.timing.durationMs())));
	}

	private boolean mayClaim(long nowMs) {
		if (this.newest.isEmpty() || this.newest.get().released()) {
			return true;
		}
		return nowMs - this.observedAtMs > this.timing.challengerWaitMs(this.newest.get().durationMs());
	}

	private LeaseAction send(long nowMs, Fact fact) {
		if (this.sentAtMs.size() >= MAX_SENT_RECORDS) {
			this.sentAtMs.values().removeIf((sentMs) -> nowMs - sentMs > this.timing.durationMs());
		}
		String recordId = this.recordIds.get();
		this.sentAtMs.put(recordId, nowMs);
		this.nextAppendAtMs = nowMs + this.timing.renewEveryMs();
		return new LeaseAction(recordId, fact);
	}

	/**
	 * Gives the lease back, if held, and appends nothing more.
	 * @return the record to append, or empty if the lease is not held
	 */
	public Optional<LeaseAction> release() {
		this.stopping = true;
		this.trustedUntilMs = Long.MIN_VALUE;
		return this.newest.filter(this::isOwn)
			.map((held) -> new LeaseAction(this.recordIds.get(), new LeaseReleased(this.lease, held.term())));
	}

	/**
	 * Returns the term that the process may act under.
	 * @param nowMs monotonic time, read just before acting
	 * @return the term, or empty without authority
	 */
	public OptionalLong term(long nowMs) {
		if (this.stopping || nowMs >= this.trustedUntilMs) {
			return OptionalLong.empty();
		}
		return this.newest.filter(this::isOwn).map((held) -> OptionalLong.of(held.term())).orElse(OptionalLong.empty());
	}

	/**
	 * Returns the term under which the process may call receivers that check no fencing
	 * token. A new holder waits a margin first, for calls that its predecessor's process
	 * was paused in.
	 * @param nowMs monotonic time, read just before the call
	 * @return the term, or empty without authority
	 */
	public OptionalLong unfencedTerm(long nowMs) {
		boolean settled = this.termStartedAtMs.isPresent()
				&& nowMs - this.termStartedAtMs.getAsLong() >= this.timing.marginMs();
		return settled ? term(nowMs) : OptionalLong.empty();
	}

	private boolean isOwn(Lease read) {
		return read.holder().equals(this.incarnation) && !read.released();
	}

}
