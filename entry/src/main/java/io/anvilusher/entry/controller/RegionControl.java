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
 * Contends for the lease of a region and runs the controllers while it is held. Used on
 * the control thread.
 */
public final class RegionControl {

	private static final Logger LOGGER = LoggerFactory.getLogger(RegionControl.class);

	private static final long TICK_MS = 200;

	private final ControlFollower follower;

	private final RecordAppender appender;

	private final Authority authority;

	private final LeaseAgent agent;

	private final List<Controller> controllers;

	private boolean held;

	private boolean stopped;

	/**
	 * Creates a contender.
	 * @param region the region
	 * @param incarnation incarnation of this process
	 * @param timing times of the lease
	 * @param follower the control state
	 * @param appender appends claims and renewals
	 * @param controllers what to run while the lease is held
	 */
	RegionControl(String region, String incarnation, LeaseTiming timing, ControlFollower follower,
			RecordAppender appender, List<Controller> controllers) {
		String lease = leaseOf(region);
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
	 * Names the lease of a region.
	 * @param region the region
	 * @return name of the lease
	 */
	public static String leaseOf(String region) {
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
		boolean holds = this.authority.term().isPresent();
		if (holds != this.held) {
			this.held = holds;
			LOGGER.info("Lease {} is {}", this.authority.lease(), holds ? "held" : "lost");
		}
		if (holds) {
			this.controllers.forEach((controller) -> controller.step(this.authority));
		}
	}

	/**
	 * Tells whether the lease is held.
	 * @return whether it is
	 */
	boolean isHeld() {
		return this.held;
	}

	/**
	 * Gives the lease back, so that another entry can take it at once.
	 */
	void stop() {
		this.stopped = true;
		this.held = false;
		this.agent.release().ifPresent((release) -> this.appender.appendOnce(release.recordId(), release.fact()));
	}

}
