package io.anvilusher.entry.controller;

import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;

import io.anvilusher.adapters.control.ControlFollower;
import io.anvilusher.adapters.control.RecordAppender;
import io.anvilusher.adapters.platform.ServerOrdering;
import io.anvilusher.adapters.platform.UsageReports;
import io.anvilusher.adapters.process.ProcessIdentity;
import io.anvilusher.entry.dispatch.ServerDirectory;
import io.anvilusher.entry.dispatch.UsageMeter;
import io.anvilusher.entry.fleet.FleetWatcher;
import io.anvilusher.logic.lease.LeaseTiming;
import io.anvilusher.logic.scale.FleetPlanner;
import io.anvilusher.logic.usage.FlushLedger;
import io.anvilusher.model.config.Configuration;
import io.anvilusher.model.config.DataCentre;
import io.anvilusher.protocol.generated.PeerMessages.UsageFlush;
import io.anvilusher.protocol.transport.PeerConnection;

/**
 * The controllers of an entry. They start once the configuration tells the region that
 * the entry's data centre lies in.
 */
public final class ControlPlane {

	private final ProcessIdentity identity;

	private final ControlFollower follower;

	private final RecordAppender appender;

	private final Supplier<Optional<Configuration>> configuration;

	private final ControlSettings settings;

	private final FlushLedger ledger = new FlushLedger();

	private final UsageFlusher flusher;

	private final List<Controller> controllers;

	private Optional<RegionControl> region = Optional.empty();

	/**
	 * Creates the controllers.
	 * @param identity this entry
	 * @param follower the control state
	 * @param appender appends records
	 * @param configuration the configuration in force
	 * @param settings times of the controllers
	 * @param fleet the VMs
	 * @param directory the backend servers
	 * @param usage counts of work done
	 * @param ordering the platform's interface for ordering servers
	 * @param reports the platform's interface for usage reports
	 * @param entries finds the connection to another entry by its incarnation
	 */
	public ControlPlane(ProcessIdentity identity, ControlFollower follower, RecordAppender appender,
			Supplier<Optional<Configuration>> configuration, ControlSettings settings, FleetWatcher fleet,
			ServerDirectory directory, UsageMeter usage, ServerOrdering ordering, UsageReports reports,
			Function<String, Optional<PeerConnection>> entries) {
		this.identity = identity;
		this.follower = follower;
		this.appender = appender;
		this.configuration = configuration;
		this.settings = settings;
		this.flusher = new UsageFlusher(identity.incarnation(), follower, usage, this.ledger, entries);
		this.controllers = List.of(
				new CheckpointController(follower, appender, settings.checkpointIntervalMs(),
						settings.checkpointRecords()),
				new OrderController(follower, appender, fleet, directory, configuration),
				new ScaleController(follower, appender, ordering, directory, configuration,
						new FleetPlanner(settings.shrinkAfterMs()), settings.scaleSettleMs()),
				new UsageController(follower, appender, reports, this.ledger, settings.usageWindowMs()),
				new ClaimExpiryController(follower, appender, settings.idempotencyRetentionMs()));
	}

	/**
	 * Looks for the region and starts when it is known. Called on the control thread
	 * after each change of the configuration.
	 */
	public void onConfiguration() {
		if (this.region.isPresent()) {
			return;
		}
		this.configuration.get()
			.stream()
			.flatMap((current) -> current.dataCentres().stream())
			.filter((dataCentre) -> dataCentre.name().equals(this.identity.dataCentre()))
			.map(DataCentre::region)
			.findFirst()
			.ifPresent(this::start);
	}

	private void start(String name) {
		RegionControl control = new RegionControl(name, this.identity.incarnation(), this.settings.leaseTiming(),
				this.follower, this.appender, this.controllers);
		this.region = Optional.of(control);
		this.flusher.start(RegionControl.leaseOf(name));
		control.start();
	}

	/**
	 * Takes in the counts of another entry.
	 * @param flush the counts
	 */
	public void onUsageFlush(UsageFlush flush) {
		this.flusher.onFlush(flush);
	}

	/**
	 * Hands over the counts so far. Called on the control thread.
	 */
	public void flushUsage() {
		this.flusher.flush();
	}

	/**
	 * Gives the lease back. Called on the control thread.
	 */
	public void stop() {
		this.region.ifPresent(RegionControl::stop);
	}

	/**
	 * Tells whether this entry holds the lease of its region.
	 * @return whether it does
	 */
	public boolean holdsLease() {
		return this.region.filter(RegionControl::isHeld).isPresent();
	}

	/**
	 * Times of the controllers.
	 *
	 * @param leaseTiming times of the lease
	 * @param checkpointIntervalMs longest time between two checkpoints
	 * @param checkpointRecords most records between two checkpoints
	 * @param usageWindowMs length of a usage window
	 * @param idempotencyRetentionMs how long idempotency keys are remembered
	 * @param shrinkAfterMs how long demand must stay low before a server is given back
	 * @param scaleSettleMs time for a change of a fleet to show before the next
	 */
	public record ControlSettings(LeaseTiming leaseTiming, long checkpointIntervalMs, long checkpointRecords,
			long usageWindowMs, long idempotencyRetentionMs, long shrinkAfterMs, long scaleSettleMs) {

	}

}
