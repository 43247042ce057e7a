package io.anvilusher.gateway.control;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.anvilusher.adapters.process.MonotonicClock;

/**
 * This process's membership in the group that elects the holder of the duties. Renews the
 * membership and determines whether the process may carry out the duties. Runs on the
 * control thread.
 */
public final class DutyMembership {

	private static final Logger LOGGER = LoggerFactory.getLogger(DutyMembership.class);

	/** Time between two renewals, as a fraction of the lease duration. */
	private static final double RENEWAL_INTERVAL_SHARE = 0.3;

	private final String member;

	private final DutyGroup group;

	private final long leaseMs;

	private final ControlTasks thread;

	private final MonotonicClock clock;

	private final List<Runnable> holderListeners = new ArrayList<>();

	private long generation;

	private long fencingToken;

	private long fencedToken;

	private OptionalLong storeEra = OptionalLong.empty();

	private boolean holder;

	private boolean leaving;

	private long renewedAtMs = Long.MIN_VALUE / 2;

	private long noActionUntilMs = Long.MIN_VALUE / 2;

	/**
	 * Creates a membership; the process joins the group when {@link #start()} is called.
	 * @param member identifier of this run of the process
	 * @param group the group
	 * @param leaseMs lease duration: time for which a holder stays the holder without
	 * renewal, in ms
	 * @param thread runs all tasks, one at a time
	 * @param clock the monotonic clock
	 */
	public DutyMembership(String member, DutyGroup group, long leaseMs, ControlTasks thread, MonotonicClock clock) {
		this.member = member;
		this.group = group;
		this.leaseMs = leaseMs;
		this.thread = thread;
		this.clock = clock;
	}

	/**
	 * Adds a listener.
	 * @param listener runs after each renewal that confirms this process as the holder
	 */
	void addHolderListener(Runnable listener) {
		this.holderListeners.add(listener);
	}

	/**
	 * Joins the group; from then on the membership is renewed regularly.
	 */
	public void start() {
		this.thread.execute(this::renew);
	}

	private void renew() {
		if (this.leaving) {
			return;
		}
		long sentAtMs = this.clock.nowMs();
		this.group.join(this.member, this.generation, this.leaseMs).exceptionally((failure) -> {
			LOGGER.error("Duties: a renewal failed unexpectedly; the membership is unknown", failure);
			return new DutyGroup.Membership(false, 0, false);
		}).thenAccept((current) -> this.thread.execute(() -> {
			if (current.responded()) {
				onMembership(current, sentAtMs);
			}
			this.thread.after((long) (this.leaseMs * RENEWAL_INTERVAL_SHARE), this::renew);
		}));
	}

	private void onMembership(DutyGroup.Membership current, long sentAtMs) {
		if (current.holder() && !holdsLease()) {
			this.noActionUntilMs = this.clock.nowMs() + this.leaseMs;
		}
		this.renewedAtMs = sentAtMs;
		this.generation = current.generation();
		this.fencingToken = current.fencingToken();
		onStoreEra(current.storeEra());
		if (current.holder() != this.holder) {
			this.holder = current.holder();
			LOGGER.info("Duties: holder={}, generation={}", this.holder, this.generation);
		}
		if (this.holder) {
			this.holderListeners.forEach(Runnable::run);
		}
	}

	// After its return from an older copy, the store may name another holder while the
	// lease of the last one is still valid.
	private void onStoreEra(long current) {
		if (this.storeEra.isPresent() && this.storeEra.getAsLong() != current) {
			this.noActionUntilMs = this.clock.nowMs() + this.leaseMs;
			LOGGER.info("Duties: the store returned from an older copy; no action for {} ms", this.leaseMs);
		}
		this.storeEra = OptionalLong.of(current);
	}

	/**
	 * Returns this process's identifier in the group.
	 * @return identifier of this run of the process
	 */
	String member() {
		return this.member;
	}

	/**
	 * Returns whether this process was the holder as of the last renewal.
	 * @return whether it was, and is not leaving the group
	 */
	boolean isHolder() {
		return this.holder && !this.leaving;
	}

	/**
	 * Returns whether this process is the holder under a lease that has not expired. The
	 * lease is counted from the time at which the renewal was sent, so that it expires
	 * here before it expires at the store.
	 * @return whether it is
	 */
	private boolean holdsLease() {
		return isHolder() && this.clock.nowMs() - this.renewedAtMs < this.leaseMs;
	}

	/**
	 * Returns whether this process may carry out the duties now. A process that becomes
	 * the holder waits for one lease duration: the last holder may not know yet that it
	 * lost the duties, or have calls under way, or be an earlier process of this machine.
	 * @return whether it may
	 */
	boolean mayAct() {
		return holdsLease() && this.fencingToken > this.fencedToken && this.clock.nowMs() > this.noActionUntilMs;
	}

	/**
	 * Returns the token for an action of the duties that this process carries out now.
	 * @return the fencing token to send with the action
	 */
	long beginAction() {
		return this.fencingToken;
	}

	/**
	 * Records that a fencing token was refused since a higher one is known elsewhere.
	 * This process may not act again until it gets a higher token.
	 * @param token the token that was refused
	 */
	void onFenced(long token) {
		this.fencedToken = Math.max(this.fencedToken, token);
	}

	/**
	 * Leaves the group and gives up the duties.
	 * @return completes when the store has confirmed it or has not responded in time
	 */
	public CompletableFuture<Void> leave() {
		CompletableFuture<Void> left = new CompletableFuture<>();
		this.thread.execute(() -> {
			this.leaving = true;
			this.group.leave(this.member).thenAccept((confirmed) -> {
				LOGGER.info("Duties: left the group, confirmed={}", confirmed);
				left.complete(null);
			});
		});
		return left;
	}

}
