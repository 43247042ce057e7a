package io.anvilusher.logic.fold;

import java.util.Map;
import java.util.Optional;

import org.pcollections.TreePMap;

import io.anvilusher.model.fact.IdempotencyClaimed;
import io.anvilusher.model.fact.IdempotencyExpired;
import io.anvilusher.model.fact.IdempotencySettled;
import io.anvilusher.model.request.ClaimOutcome;
import io.anvilusher.model.request.IdempotencyClaim;

/**
 * The idempotency claims of the control state. The first claim of a key wins. A later
 * claim can replace it only after the attempt of the first is settled as not run.
 *
 * @param byKey the claims by claim key
 */
public record ClaimState(Map<String, IdempotencyClaim> byKey) {

	/** The state before the first claim. */
	static final ClaimState EMPTY = new ClaimState(Map.of());

	public ClaimState {
		byKey = PersistentMaps.of(byKey);
	}

	/**
	 * Finds the claim of a key.
	 * @param claimKey hash of workspace, service and the caller's idempotency key
	 * @return the claim, or empty if the key was never claimed or its claim has expired
	 */
	public Optional<IdempotencyClaim> find(String claimKey) {
		return Optional.ofNullable(this.byKey.get(claimKey));
	}

	FoldResult<ClaimState> claim(long offset, IdempotencyClaimed fact) {
		Optional<IdempotencyClaim> earlier = find(fact.claimKey());
		long base = earlier.map(IdempotencyClaim::offset).orElse(0L);
		boolean free = earlier.isEmpty() || earlier.flatMap(IdempotencyClaim::result)
			.filter((result) -> result.outcome() == ClaimOutcome.NOT_RUN)
			.isPresent();
		if (!free || fact.basedOnOffset() != base) {
			return FoldResult.refused(this, Verdict.STALE_BASE);
		}
		IdempotencyClaim claim = new IdempotencyClaim(fact.claimKey(), fact.fingerprint(), fact.attemptId(),
				fact.server(), fact.sidecarIncarnation(), offset, Optional.empty());
		return FoldResult.accepted(with(claim));
	}

	FoldResult<ClaimState> settle(IdempotencySettled fact) {
		return find(fact.claimKey())
			.filter((claim) -> claim.attemptId().equals(fact.attemptId()) && claim.result().isEmpty())
			.map((claim) -> FoldResult.accepted(with(claim.settled(fact.result()))))
			.orElseGet(() -> FoldResult.refused(this, Verdict.NOT_OPEN));
	}

	FoldResult<ClaimState> expire(IdempotencyExpired fact, LeaseState leases) {
		if (!leases.isCurrent(fact.lease(), fact.term())) {
			return FoldResult.refused(this, Verdict.TERM_OVER);
		}
		TreePMap<String, IdempotencyClaim> kept = PersistentMaps.of(this.byKey)
			.minusAll(this.byKey.values()
				.stream()
				.filter((claim) -> claim.offset() <= fact.throughOffset())
				.map(IdempotencyClaim::claimKey)
				.toList());
		return FoldResult.accepted(new ClaimState(kept));
	}

	private ClaimState with(IdempotencyClaim claim) {
		return new ClaimState(PersistentMaps.with(this.byKey, claim.claimKey(), claim));
	}

}
