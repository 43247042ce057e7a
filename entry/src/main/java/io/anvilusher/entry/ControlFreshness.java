package io.anvilusher.entry;

import java.util.function.BooleanSupplier;

import io.anvilusher.adapters.control.ControlFollower;
import io.anvilusher.adapters.control.RecordSubscription;

/**
 * Judges how far the control state can be trusted. An entry that neither reaches the log
 * nor any other entry cannot learn of withdrawn keys, and stops keyed work after a limit;
 * one that reaches others, none of which reaches the log, sees an outage of the log, in
 * which nothing can be withdrawn, and goes on.
 */
final class ControlFreshness implements KeyFreshness {

	/** Age of the state at which records are asked of other entries. */
	private static final long STALE_MS = 1600;

	/** Age of the state at which an isolated entry stops keyed work. */
	private static final long ISOLATED_LIMIT_MS = 4000;

	private final ControlFollower follower;

	private final RecordSubscription peers;

	private final BooleanSupplier hasOtherEntries;

	ControlFreshness(ControlFollower follower, RecordSubscription peers, BooleanSupplier hasOtherEntries) {
		this.follower = follower;
		this.peers = peers;
		this.hasOtherEntries = hasOtherEntries;
	}

	boolean isStale() {
		return this.follower.ageMs() > STALE_MS;
	}

	@Override
	public boolean keysAreFresh() {
		if (this.follower.ageMs() <= ISOLATED_LIMIT_MS) {
			return true;
		}
		return !this.hasOtherEntries.getAsBoolean() || this.peers.hasAnswered(ISOLATED_LIMIT_MS);
	}

}
