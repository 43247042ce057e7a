package io.anvilusher.logic.fold;

import java.util.function.Function;

import io.anvilusher.model.fact.CheckpointChunk;
import io.anvilusher.model.fact.ConfigurationPublished;
import io.anvilusher.model.fact.CrashObserved;
import io.anvilusher.model.fact.Fact;
import io.anvilusher.model.fact.IdempotencyClaimed;
import io.anvilusher.model.fact.IdempotencyExpired;
import io.anvilusher.model.fact.IdempotencySettled;
import io.anvilusher.model.fact.KeyGranted;
import io.anvilusher.model.fact.KeyWithdrawn;
import io.anvilusher.model.fact.LeaseClaimed;
import io.anvilusher.model.fact.LeaseReleased;
import io.anvilusher.model.fact.LeaseRenewed;
import io.anvilusher.model.fact.OffsetRecord;
import io.anvilusher.model.fact.OrderAbandoned;
import io.anvilusher.model.fact.OrderIntended;
import io.anvilusher.model.fact.OrderSettled;
import io.anvilusher.model.fact.OrderStarted;
import io.anvilusher.model.fact.ScaleIntended;
import io.anvilusher.model.fact.ScaleSettled;
import io.anvilusher.model.fact.SuspectCleared;
import io.anvilusher.model.fact.UsageReported;
import io.anvilusher.model.fact.UsageSealed;

/**
 * The control state, folded from the records of the control log. The fold is pure, so all
 * processes that have read the log through the same offset have the same state. Each fact
 * either names the state that it is based on or is idempotent, so a record that was
 * appended twice takes effect only once.
 *
 * @param appliedOffset offset of the newest record that was folded; 0 before the first
 * @param configuration the accepted configuration text
 * @param keys the workspace keys
 * @param leases the leases
 * @param orders the orders that change model engines
 * @param scales the intents to order or release backend servers
 * @param usage the sealed usage windows
 * @param claims the idempotency claims
 * @param suspects the requests suspected of crashing backend servers
 */
public record ControlState(long appliedOffset, ConfigurationState configuration, KeyState keys, LeaseState leases,
		OrderState orders, ScaleState scales, UsageState usage, ClaimState claims, SuspectState suspects) {

	/** The state before the first record. */
	public static final ControlState EMPTY = new ControlState(0, ConfigurationState.EMPTY, KeyState.EMPTY,
			LeaseState.EMPTY, OrderState.EMPTY, ScaleState.EMPTY, UsageState.EMPTY, ClaimState.EMPTY,
			SuspectState.EMPTY);

	/**
	 * Folds one record. A record at or before the applied offset has no effect.
	 * @param offsetRecord the record with its offset
	 * @return the state after the record, and whether the record took effect
	 */
	public FoldResult<ControlState> apply(OffsetRecord offsetRecord) {
		if (offsetRecord.offset() <= this.appliedOffset) {
			return FoldResult.refused(this, Verdict.ALREADY_APPLIED);
		}
		FoldResult<ControlState> folded = dispatch(offsetRecord.offset(), offsetRecord.record().id(),
				offsetRecord.record().fact());
		return new FoldResult<>(folded.state().withAppliedOffset(offsetRecord.offset()), folded.verdict());
	}

	/**
	 * Skips a record that cannot be decoded.
	 * @param offset offset of the record
	 * @return this state with the new applied offset and no other change
	 */
	public ControlState skip(long offset) {
		return withAppliedOffset(Math.max(offset, this.appliedOffset));
	}

	private FoldResult<ControlState> dispatch(long offset, String recordId, Fact fact) {
		if (fact instanceof ConfigurationPublished published) {
			return map(this.configuration.publish(offset, published), this::withConfiguration);
		}
		if (fact instanceof KeyGranted granted) {
			return map(this.keys.grant(granted), this::withKeys);
		}
		if (fact instanceof KeyWithdrawn withdrawn) {
			return map(this.keys.withdraw(withdrawn), this::withKeys);
		}
		if (fact instanceof LeaseClaimed claimed) {
			return claim(offset, recordId, claimed);
		}
		if (fact instanceof LeaseRenewed renewed) {
			return map(this.leases.renew(offset, recordId, renewed), this::withLeases);
		}
		if (fact instanceof LeaseReleased released) {
			return map(this.leases.release(offset, recordId, released), this::withLeases);
		}
		return dispatchOrders(offset, fact);
	}

	private FoldResult<ControlState> dispatchOrders(long offset, Fact fact) {
		if (fact instanceof OrderIntended intended) {
			return map(this.orders.intend(offset, intended, this.leases), this::withOrders);
		}
		if (fact instanceof OrderStarted started) {
			return map(this.orders.start(offset, started, this.leases), this::withOrders);
		}
		if (fact instanceof OrderSettled settled) {
			return map(this.orders.settle(offset, settled), this::withOrders);
		}
		if (fact instanceof OrderAbandoned abandoned) {
			return map(this.orders.abandon(abandoned, this.leases), this::withOrders);
		}
		if (fact instanceof ScaleIntended intended) {
			return map(this.scales.intend(offset, intended, this.leases), this::withScales);
		}
		if (fact instanceof ScaleSettled settled) {
			return map(this.scales.settle(offset, settled, this.leases), this::withScales);
		}
		return dispatchRequests(offset, fact);
	}

	private FoldResult<ControlState> dispatchRequests(long offset, Fact fact) {
		if (fact instanceof UsageSealed sealed) {
			return map(this.usage.seal(sealed, this.leases), this::withUsage);
		}
		if (fact instanceof UsageReported reported) {
			return map(this.usage.report(reported, this.leases), this::withUsage);
		}
		if (fact instanceof IdempotencyClaimed claimed) {
			return map(this.claims.claim(offset, claimed), this::withClaims);
		}
		if (fact instanceof IdempotencySettled settled) {
			return map(this.claims.settle(settled), this::withClaims);
		}
		if (fact instanceof IdempotencyExpired expired) {
			return map(this.claims.expire(expired, this.leases), this::withClaims);
		}
		if (fact instanceof CrashObserved observed) {
			return map(this.suspects.observe(offset, observed), this::withSuspects);
		}
		if (fact instanceof SuspectCleared cleared) {
			return map(this.suspects.clear(cleared), this::withSuspects);
		}
		if (fact instanceof CheckpointChunk) {
			return FoldResult.accepted(this);
		}
		throw new IllegalStateException("unknown type of fact: " + fact.getClass().getName());
	}

	private FoldResult<ControlState> claim(long offset, String recordId, LeaseClaimed fact) {
		FoldResult<LeaseState> claimed = this.leases.claim(offset, recordId, fact);
		if (!claimed.verdict().isAccepted()) {
			return FoldResult.refused(this, claimed.verdict());
		}
		OrderState remaining = this.orders.endUnstarted(offset, fact.lease());
		return FoldResult.accepted(withLeases(claimed.state()).withOrders(remaining));
	}

	private <S> FoldResult<ControlState> map(FoldResult<S> folded, Function<S, ControlState> update) {
		return new FoldResult<>(folded.verdict().isAccepted() ? update.apply(folded.state()) : this, folded.verdict());
	}

	private ControlState withAppliedOffset(long offset) {
		return new ControlState(offset, this.configuration, this.keys, this.leases, this.orders, this.scales,
				this.usage, this.claims, this.suspects);
	}

	private ControlState withConfiguration(ConfigurationState changed) {
		return new ControlState(this.appliedOffset, changed, this.keys, this.leases, this.orders, this.scales,
				this.usage, this.claims, this.suspects);
	}

	private ControlState withKeys(KeyState changed) {
		return new ControlState(this.appliedOffset, this.configuration, changed, this.leases, this.orders, this.scales,
				this.usage, this.claims, this.suspects);
	}

	private ControlState withLeases(LeaseState changed) {
		return new ControlState(this.appliedOffset, this.configuration, this.keys, changed, this.orders, this.scales,
				this.usage, this.claims, this.suspects);
	}

	private ControlState withOrders(OrderState changed) {
		return new ControlState(this.appliedOffset, this.configuration, this.keys, this.leases, changed, this.scales,
				this.usage, this.claims, this.suspects);
	}

	private ControlState withScales(ScaleState changed) {
		return new ControlState(this.appliedOffset, this.configuration, this.keys, this.leases, this.orders, changed,
				this.usage, this.claims, this.suspects);
	}

	private ControlState withUsage(UsageState changed) {
		return new ControlState(this.appliedOffset, this.configuration, this.keys, this.leases, this.orders,
				this.scales, changed, this.claims, this.suspects);
	}

	private ControlState withClaims(ClaimState changed) {
		return new ControlState(this.appliedOffset, this.configuration, this.keys, this.leases, this.orders,
				this.scales, this.usage, changed, this.suspects);
	}

	private ControlState withSuspects(SuspectState changed) {
		return new ControlState(this.appliedOffset, this.configuration, this.keys, this.leases, this.orders,
				this.scales, this.usage, this.claims, changed);
	}

}
