package io.anvilusher.entry.controller;

import java.util.List;
import java.util.Optional;
import java.util.UUID;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.anvilusher.adapters.control.ControlFollower;
import io.anvilusher.adapters.control.RecordAppender;
import io.anvilusher.logic.fold.ControlState;
import io.anvilusher.logic.lease.LeaseAction;
import io.anvilusher.logic.lease.LeaseAgent;
import io.anvilusher.logic.lease.LeaseTiming;

/**
 * Tries to acquire and renew the lease of a region and runs the controllers while it is
 * held. Used on the control thread.
 */
public final class RegionControlLoop {

	private static final Logger LOGGER = LoggerFactory.getLogger(RegionControlLoop.class);

	private static final long TICK_MS = 200;

	private final ControlFollower follower;

	private final RecordAppender appender;

	private final Authority authority;

	private final LeaseAgent agent;

	private final List<Controller> controllers;

	private boolean held;

	private boolean stopped;

	/**
	 * Creates a loop that does not hold the lease yet.
	 * @param region name of the region
	 * @param incarnation incarnation of this process
	 * @param timing timing of the lease
	 * @param follower the control state
	 * @param appender appends the claims, renewals and release of the lease
	 * @param controllers the controllers to run while the lease is held
	 */
	RegionControlLoop(String region, String incarnation, LeaseTiming timing, ControlFollower follower,
			RecordAppender appender, List<Controller> controllers) {
		String lease = leaseName(region);
		this.follower = follower;
		this.appender = appender;
		this.controllers = List.copyOf(controllers);
		this.agent = new LeaseAgent(lease, incarnation, timing, () -> UUID.randomUUID().toString(),
				follower.clock().nowMs());
		this.authority = new Authority(lease, this.agent, follower.clock()::nowMs);
		this.agent.onState(follower.clock().nowMs(), follower.state().leases());
		follower.addListener(this::onState);
	}

	/**
	 * Returns the name of a region's lease.
	 * @param region name of the region
	 * @return name of the lease
	 */
	public static String leaseName(String region) {
		return "region/" + region;
	}

	void start() {
		this.follower.thread().every(TICK_MS, this::tick);
	}

	private void onState(ControlState before, ControlState after) {
		if (!before.leases().equals(after.leases())) {
			this.agent.onState(this.follower.clock().nowMs(), after.leases());
		}
	}

	private void tick() {
		if (this.stopped) {
			return;
		}
		Optional<LeaseAction> action = this.agent.next(this.follower.clock().nowMs());
		action.ifPresent((next) -> this.appender.appendOnce(next.recordId(), next.fact()));
		boolean heldNow = this.authority.term().isPresent();
		if (heldNow != this.held) {
			this.held = heldNow;
			LOGGER.info("Lease {} is {}", this.authority.lease(), heldNow ? "held" : "lost");
		}
		if (heldNow) {
			this.controllers.forEach((controller) -> controller.reconcile(this.authority));
		}
	}

	/**
	 * Returns whether the lease was held at the last tick.
	 * @return whether it was
	 */
	boolean isHeld() {
		return this.held;
	}

	/**
	 * Releases the lease, so that another entry can claim it at once.
	 */
	void stop() {
		this.stopped = true;
		this.held = false;
		this.agent.release().ifPresent((release) -> this.appender.appendOnce(release.recordId(), release.fact()));
	}

}
