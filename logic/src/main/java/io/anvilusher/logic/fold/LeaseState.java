package io.anvilusher.logic.fold;

import java.util.Map;
import java.util.Optional;

import io.anvilusher.model.fact.LeaseClaimed;
import io.anvilusher.model.fact.LeaseReleased;
import io.anvilusher.model.fact.LeaseRenewed;
import io.anvilusher.model.lease.Lease;

/**
 * The leases of the control state. A claim takes effect only if the log holds no other
 * accepted claim, renewal or release of the lease between the record that the claim is
 * based on and the claim itself.
 *
 * @param byName the leases by name
 */
public record LeaseState(Map<String, Lease> byName) {

	/** The state before the first claim. */
	static final LeaseState EMPTY = new LeaseState(Map.of());

	public LeaseState {
		byName = PersistentMaps.of(byName);
	}

	/**
	 * Finds a lease.
	 * @param name name of the lease, such as {@code region/NAME}
	 * @return the lease, or empty if it was never claimed
	 */
	public Optional<Lease> find(String name) {
		return Optional.ofNullable(this.byName.get(name));
	}

	/**
	 * Returns whether a term is the newest one of its lease and has not been released.
	 * The fold reads no clock, so a term also stays current after its duration, until the
	 * next claim of the lease.
	 * @param name name of the lease
	 * @param term the term
	 * @return whether the term is current
	 */
	public boolean isCurrent(String name, long term) {
		return find(name).filter((lease) -> lease.term() == term && !lease.released()).isPresent();
	}

	FoldResult<LeaseState> claim(long offset, String recordId, LeaseClaimed fact) {
		long lastOffset = find(fact.lease()).map(Lease::lastOffset).orElse(0L);
		if (fact.basedOnOffset() != lastOffset) {
			return FoldResult.refused(this, Verdict.STALE_BASE);
		}
		return FoldResult
			.accepted(with(new Lease(fact.lease(), fact.holder(), offset, offset, recordId, fact.durationMs(), false)));
	}

	FoldResult<LeaseState> renew(long offset, String recordId, LeaseRenewed fact) {
		return current(fact.lease(), fact.term())
			.map((lease) -> FoldResult.accepted(with(new Lease(lease.name(), lease.holder(), lease.term(), offset,
					recordId, lease.durationMs(), false))))
			.orElseGet(() -> FoldResult.refused(this, Verdict.TERM_OVER));
	}

	FoldResult<LeaseState> release(long offset, String recordId, LeaseReleased fact) {
		return current(fact.lease(), fact.term())
			.map((lease) -> FoldResult.accepted(with(
					new Lease(lease.name(), lease.holder(), lease.term(), offset, recordId, lease.durationMs(), true))))
			.orElseGet(() -> FoldResult.refused(this, Verdict.TERM_OVER));
	}

	private Optional<Lease> current(String name, long term) {
		return find(name).filter((lease) -> isCurrent(name, term));
	}

	private LeaseState with(Lease lease) {
		return new LeaseState(PersistentMaps.with(this.byName, lease.name(), lease));
	}

}
