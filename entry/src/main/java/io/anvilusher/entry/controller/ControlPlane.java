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
 * The controllers of an entry. They start once the configuration names the region that
 * the entry's data centre belongs to.
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

	private Optional<RegionControlLoop> regionLoop = Optional.empty();

	/**
	 * Creates the controllers.
	 * @param identity name, data centre and incarnation of this entry
	 * @param follower the control state
	 * @param appender appends records
	 * @param configuration the configuration in force
	 * @param settings timing of the controllers
	 * @param fleet the VMs of the platform's list
	 * @param directory the backend servers
	 * @param usage usage counted by this entry
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
	 * Starts the controllers as soon as the configuration names the region of this entry.
	 * Called on the control thread after each change of the configuration.
	 */
	public void onConfiguration() {
		if (this.regionLoop.isPresent()) {
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

	private void start(String region) {
		RegionControlLoop loop = new RegionControlLoop(region, this.identity.incarnation(), this.settings.leaseTiming(),
				this.follower, this.appender, this.controllers);
		this.regionLoop = Optional.of(loop);
		this.flusher.start(RegionControlLoop.leaseName(region));
		loop.start();
	}

	/**
	 * Adds the usage that another entry has sent to this one as the lease holder.
	 * @param flush the usage
	 */
	public void onUsageFlush(UsageFlush flush) {
		this.flusher.onFlush(flush);
	}

	/**
	 * Sends the usage counted so far to the lease holder. Called on the control thread.
	 */
	public void flushUsage() {
		this.flusher.flush();
	}

	/**
	 * Releases the lease, if held, and stops the controllers. Called on the control
	 * thread.
	 */
	public void stop() {
		this.regionLoop.ifPresent(RegionControlLoop::stop);
	}

	/**
	 * Returns whether this entry holds the lease of its region.
	 * @return whether it does; {@code false} while the region is unknown
	 */
	public boolean holdsLease() {
		return this.regionLoop.filter(RegionControlLoop::isHeld).isPresent();
	}

	/**
	 * Timing of the controllers.
	 *
	 * @param leaseTiming timing of the lease
	 * @param checkpointIntervalMs longest time between two checkpoints
	 * @param checkpointRecords largest number of records between two checkpoints
	 * @param usageWindowMs length of a usage window
	 * @param idempotencyRetentionMs retention period of idempotency keys
	 * @param shrinkAfterMs how long demand must stay low before a server is released
	 * @param scaleSettleMs shortest time between two changes of a fleet, so that the
	 * first takes effect before the next is planned
	 */
	public record ControlSettings(LeaseTiming leaseTiming, long checkpointIntervalMs, long checkpointRecords,
			long usageWindowMs, long idempotencyRetentionMs, long shrinkAfterMs, long scaleSettleMs) {

	}

}
