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
 * Claims, renews and releases one lease on behalf of one process. It receives each folded
 * state and returns the next record to append; it does no I/O and reads no clock. Not
 * safe for use by several threads.
 *
 * <p>
 * A claim names the newest record of the lease that the claimant has read, so a renewal
 * that is appended before the claim makes the claim void. A holder relies on a claim or
 * renewal only after it has read the record back, and counts the duration from before it
 * sent the record. A challenger counts from after it read the newest record and waits
 * longer. A new claim can therefore take effect only after the previous holder has
 * stopped relying on the lease.
 */
public class LeaseAgent {

	/**
	 * Number of sent records above which those older than a lease duration are forgotten.
	 */
	private static final int MAX_SENT_RECORDS = 64;

	private final String lease;

	private final String incarnation;

	private final LeaseTiming timing;

	private final Supplier<String> recordIds;

	private final Map<String, Long> sentAtMs = new HashMap<>();

	private Optional<Lease> lastReadLease = Optional.empty();

	private long changeReadAtMs;

	private long validUntilMs = Long.MIN_VALUE;

	private OptionalLong termStartedAtMs = OptionalLong.empty();

	private long nextAppendAtMs;

	private boolean stopping;

	/**
	 * Creates the agent of a process that does not hold the lease.
	 * @param lease name of the lease
	 * @param incarnation incarnation of the process
	 * @param timing the times of the lease
	 * @param recordIds supplies random record ids
	 * @param nowMs current time of the monotonic clock
	 */
	public LeaseAgent(String lease, String incarnation, LeaseTiming timing, Supplier<String> recordIds, long nowMs) {
		this.lease = lease;
		this.incarnation = incarnation;
		this.timing = timing;
		this.recordIds = recordIds;
		this.changeReadAtMs = nowMs;
	}

	/**
	 * Updates the agent with a newly folded state.
	 * @param nowMs monotonic time, read after the state was read
	 * @param state the leases of that state
	 */
	public void onState(long nowMs, LeaseState state) {
		Optional<Lease> read = state.find(this.lease);
		if (read.equals(this.lastReadLease)) {
			return;
		}
		this.lastReadLease = read;
		this.changeReadAtMs = nowMs;
		read.ifPresent(this::updateValidity);
	}

	private void updateValidity(Lease read) {
		if (!isOwn(read)) {
			this.termStartedAtMs = OptionalLong.empty();
			this.validUntilMs = Long.MIN_VALUE;
			return;
		}
		Long sentMs = this.sentAtMs.get(read.lastRecordId());
		if (sentMs == null || read.released()) {
			return;
		}
		this.validUntilMs = Math.max(this.validUntilMs, sentMs + this.timing.holderValidityMs());
		if (this.termStartedAtMs.isEmpty()) {
			this.termStartedAtMs = OptionalLong.of(this.changeReadAtMs);
		}
	}

	/**
	 * Returns the next claim or renewal to append. After one was returned, returns
	 * nothing for one renewal interval.
	 * @param nowMs monotonic time, read before the record is sent
	 * @return the record, or empty if there is nothing to append
	 */
	public Optional<LeaseAction> next(long nowMs) {
		if (this.stopping || nowMs < this.nextAppendAtMs) {
			return Optional.empty();
		}
		if (this.lastReadLease.filter(this::isOwn).isPresent()) {
			return Optional.of(prepareAppend(nowMs, new LeaseRenewed(this.lease, this.lastReadLease.get().term())));
		}
		if (!mayClaim(nowMs)) {
			return Optional.empty();
		}
		long base = this.lastReadLease.map(Lease::lastOffset).orElse(0L);
		return Optional
			.of(prepareAppend(nowMs, new LeaseClaimed(this.lease, this.incarnation, base, this.timing.durationMs())));
	}

	private boolean mayClaim(long nowMs) {
		if (this.lastReadLease.isEmpty() || this.lastReadLease.get().released()) {
			return true;
		}
		return nowMs - this.changeReadAtMs > this.timing.challengerWaitMs(this.lastReadLease.get().durationMs());
	}

	private LeaseAction prepareAppend(long nowMs, Fact fact) {
		if (this.sentAtMs.size() >= MAX_SENT_RECORDS) {
			this.sentAtMs.values().removeIf((sentMs) -> nowMs - sentMs > this.timing.durationMs());
		}
		String recordId = this.recordIds.get();
		this.sentAtMs.put(recordId, nowMs);
		this.nextAppendAtMs = nowMs + this.timing.renewEveryMs();
		return new LeaseAction(recordId, fact);
	}

	/**
	 * Releases the lease if this process holds it. Afterwards this agent returns no more
	 * claims or renewals, and the process has no authority.
	 * @return the release to append, or empty if this process does not hold the lease
	 */
	public Optional<LeaseAction> release() {
		this.stopping = true;
		this.validUntilMs = Long.MIN_VALUE;
		return this.lastReadLease.filter(this::isOwn)
			.map((held) -> new LeaseAction(this.recordIds.get(), new LeaseReleased(this.lease, held.term())));
	}

	/**
	 * Returns the term under which the process may act.
	 * @param nowMs monotonic time, read just before acting
	 * @return the term, or empty if the process does not hold the lease or may no longer
	 * rely on it
	 */
	public OptionalLong term(long nowMs) {
		if (this.stopping || nowMs >= this.validUntilMs) {
			return OptionalLong.empty();
		}
		return this.lastReadLease.filter(this::isOwn)
			.map((held) -> OptionalLong.of(held.term()))
			.orElse(OptionalLong.empty());
	}

	/**
	 * Returns the term under which the process may call receivers that do not check
	 * fencing tokens. A new holder first waits for the margin of the lease, because the
	 * previous holder may have been paused between checking its term and sending a call.
	 * @param nowMs monotonic time, read just before the call
	 * @return the term, or empty without authority or before the margin has passed
	 */
	public OptionalLong unfencedTerm(long nowMs) {
		boolean marginPassed = this.termStartedAtMs.isPresent()
				&& nowMs - this.termStartedAtMs.getAsLong() >= this.timing.marginMs();
		return marginPassed ? term(nowMs) : OptionalLong.empty();
	}

	private boolean isOwn(Lease read) {
		return read.holder().equals(this.incarnation) && !read.released();
	}

}
