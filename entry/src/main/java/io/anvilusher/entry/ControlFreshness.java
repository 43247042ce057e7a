package io.anvilusher.entry;

import java.util.function.BooleanSupplier;

import io.anvilusher.adapters.control.ControlFollower;
import io.anvilusher.adapters.control.RecordSubscription;

/**
 * Decides by the age of the control state whether it can be used. An entry that reaches
 * neither the log nor another entry is not informed of withdrawn keys, and refuses
 * requests with keys after a limit. If it reaches other entries, but none of them reaches
 * the log, the log itself is unavailable: no key can be withdrawn, and the entry keeps
 * serving. It also keeps serving if no other entry is on the list of VMs.
 */
final class ControlFreshness implements KeyFreshness {

	/** Age of the state from which on records are requested from other entries. */
	private static final long STALE_AFTER_MS = 1600;

	/** Age of the state from which on an isolated entry refuses requests with keys. */
	private static final long ISOLATED_AFTER_MS = 4000;

	private final ControlFollower follower;

	private final RecordSubscription subscription;

	private final BooleanSupplier mayHaveOtherEntries;

	ControlFreshness(ControlFollower follower, RecordSubscription subscription, BooleanSupplier mayHaveOtherEntries) {
		this.follower = follower;
		this.subscription = subscription;
		this.mayHaveOtherEntries = mayHaveOtherEntries;
	}

	boolean isStale() {
		return this.follower.ageMs() > STALE_AFTER_MS;
	}

	@Override
	public boolean keysAreFresh() {
		if (this.follower.ageMs() <= ISOLATED_AFTER_MS) {
			return true;
		}
		return !this.mayHaveOtherEntries.getAsBoolean() || this.subscription.hasRepliedWithin(ISOLATED_AFTER_MS);
	}

}
