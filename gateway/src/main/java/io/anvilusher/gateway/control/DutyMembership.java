package io.anvilusher.gateway.control;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.anvilusher.adapters.control.ControlThread;
import io.anvilusher.adapters.process.MonotonicClock;

/**
 * This process's standing in the group whose members hold the duties in turn: renews it
 * and tells whether the process may act. Works on the control thread.
 */
public final class DutyMembership {

	private static final Logger LOGGER = LoggerFactory.getLogger(DutyMembership.class);

	/** Pause between two renewals, as a part of the lease. */
	private static final double RENEW_SHARE = 0.3;

	private final String member;

	private final DutyGroup group;

	private final long leaseMs;

	private final ControlThread thread;

	private final MonotonicClock clock;

	private final List<Runnable> holderListeners = new ArrayList<>();

	private long generation;

	private long fencedGeneration;

	private boolean holder;

	private boolean leaving;

	private long actedAtMs = Long.MIN_VALUE / 2;

	private long renewedAtMs = Long.MIN_VALUE / 2;

	private long notBeforeMs = Long.MIN_VALUE / 2;

	/**
	 * Creates a membership; it stands for nothing until it is started.
	 * @param member identity of this process since its start
	 * @param group the group
	 * @param leaseMs time for which a holder counts as such without renewal, in ms
	 * @param thread the control thread
	 * @param clock the steady clock
	 */
	public DutyMembership(String member, DutyGroup group, long leaseMs, ControlThread thread, MonotonicClock clock) {
		this.member = member;
		this.group = group;
		this.leaseMs = leaseMs;
		this.thread = thread;
		this.clock = clock;
	}

	/**
	 * Adds a listener.
	 * @param listener runs after each renewal that finds this process the holder
	 */
	void onHolder(Runnable listener) {
		this.holderListeners.add(listener);
	}

	/**
	 * Starts to stand for the duties.
	 */
	public void start() {
		this.thread.run(this::renew);
	}

	private void renew() {
		if (this.leaving) {
			return;
		}
		long askedAtMs = this.clock.nowMs();
		this.group.join(this.member, this.generation, this.leaseMs).thenAccept((standing) -> this.thread.run(() -> {
			if (standing.known()) {
				onStanding(standing, askedAtMs);
			}
			this.thread.after((long) (this.leaseMs * RENEW_SHARE), this::renew);
		}));
	}

	private void onStanding(DutyGroup.Membership standing, long askedAtMs) {
		this.renewedAtMs = askedAtMs;
		this.generation = standing.generation();
		if (standing.holder() != this.holder) {
			this.holder = standing.holder();
			this.notBeforeMs = this.actedAtMs + this.leaseMs;
			LOGGER.info("Duties: holder={}, generation={}", this.holder, this.generation);
		}
		if (this.holder) {
			this.holderListeners.forEach(Runnable::run);
		}
	}

	/**
	 * Returns the identity in the group.
	 * @return identity of this process since its start
	 */
	String member() {
		return this.member;
	}

	/**
	 * Tells whether this process was the holder when it last heard.
	 * @return whether it was, and does not leave
	 */
	boolean isHolder() {
		return this.holder && !this.leaving;
	}

	/**
	 * Tells whether this process may act. The lease counts from before the renewal was
	 * asked for, so that it ends here first. A process that gets the duties back lets a
	 * lease pass since it last acted before, so that two holders do not take turns within
	 * one.
	 * @return whether it may
	 */
	boolean mayAct() {
		long nowMs = this.clock.nowMs();
		return isHolder() && this.generation > this.fencedGeneration && nowMs - this.renewedAtMs < this.leaseMs
				&& nowMs > this.notBeforeMs;
	}

	/**
	 * Notes that this process acts now.
	 * @return the fencing token to act with
	 */
	long act() {
		this.actedAtMs = this.clock.nowMs();
		return this.generation;
	}

	/**
	 * Notes that a higher fencing token was seen elsewhere; nothing more is done with
	 * this one.
	 * @param token the token that was refused
	 */
	void onFenced(long token) {
		this.fencedGeneration = Math.max(this.fencedGeneration, token);
	}

	/**
	 * Gives up the duties.
	 * @return completes when the group has heard it, or did not answer
	 */
	public CompletableFuture<Void> leave() {
		CompletableFuture<Void> left = new CompletableFuture<>();
		this.thread.run(() -> {
			this.leaving = true;
			this.group.leave(this.member).thenAccept((heard) -> {
				LOGGER.info("Duties: left the group, heard={}", heard);
				left.complete(null);
			});
		});
		return left;
	}

}
