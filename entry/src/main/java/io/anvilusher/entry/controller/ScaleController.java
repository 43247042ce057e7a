package io.anvilusher.entry.controller;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.UUID;
import java.util.function.Supplier;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.anvilusher.adapters.control.ControlFollower;
import io.anvilusher.adapters.control.RecordAppender;
import io.anvilusher.adapters.platform.ServerOrdering;
import io.anvilusher.entry.dispatch.ServerDirectory;
import io.anvilusher.entry.dispatch.ServerDirectory.ServerStatus;
import io.anvilusher.logic.fold.ScaleState;
import io.anvilusher.logic.scale.FleetLoad;
import io.anvilusher.logic.scale.FleetPlanner;
import io.anvilusher.model.config.Configuration;
import io.anvilusher.model.config.DataCentre;
import io.anvilusher.model.config.ServiceSpec;
import io.anvilusher.model.fact.ScaleIntended;
import io.anvilusher.model.fact.ScaleSettled;
import io.anvilusher.model.scale.ScaleChange;
import io.anvilusher.model.scale.ScaleIntent;

/**
 * Orders and releases backend servers at the platform. Each change is appended to the log
 * as an intent before the platform is called. An intent without a response is sent again
 * under the same id, also by the next lease holder, so it takes effect at most once.
 */
final class ScaleController implements Controller {

	private static final Logger LOGGER = LoggerFactory.getLogger(ScaleController.class);

	private static final long APPEND_TIMEOUT_MS = 4000;

	/** Weight of the newest sample in the exponential moving average of the demand. */
	private static final double DEMAND_SMOOTHING_FACTOR = 0.02;

	private final ControlFollower follower;

	private final RecordAppender appender;

	private final ServerOrdering ordering;

	private final ServerDirectory directory;

	private final Supplier<Optional<Configuration>> configuration;

	private final FleetPlanner planner;

	private final long settleMs;

	private final Map<String, Double> demandSlots = new HashMap<>();

	private final Map<String, Long> lastChangeAtMs = new HashMap<>();

	private boolean operationInProgress;

	ScaleController(ControlFollower follower, RecordAppender appender, ServerOrdering ordering,
			ServerDirectory directory, Supplier<Optional<Configuration>> configuration, FleetPlanner planner,
			long settleMs) {
		this.follower = follower;
		this.appender = appender;
		this.ordering = ordering;
		this.directory = directory;
		this.configuration = configuration;
		this.planner = planner;
		this.settleMs = settleMs;
	}

	@Override
	public void reconcile(Authority authority) {
		updateDemand();
		if (this.operationInProgress) {
			return;
		}
		Optional<ScaleIntent> open = this.follower.state()
			.scales()
			.open()
			.values()
			.stream()
			.filter((intent) -> intent.lease().equals(authority.lease()))
			.findFirst();
		if (open.isPresent()) {
			sendToPlatform(authority, open.get());
			return;
		}
		authority.term().ifPresent((term) -> appendNextIntent(authority.lease(), term));
	}

	private void updateDemand() {
		Map<String, Double> runningSlots = new HashMap<>();
		this.directory.status()
			.forEach((server) -> runningSlots.merge(fleetOf(server), (double) server.running(), Double::sum));
		runningSlots.forEach((fleet, slots) -> this.demandSlots.merge(fleet, slots,
				(average, sample) -> average + DEMAND_SMOOTHING_FACTOR * (sample - average)));
	}

	private static String fleetOf(ServerStatus server) {
		return server.dataCentre() + "/" + server.service();
	}

	private void appendNextIntent(String lease, long term) {
		Optional<Configuration> current = this.configuration.get();
		if (current.isEmpty()) {
			return;
		}
		String region = lease.substring(lease.indexOf('/') + 1);
		current.get()
			.dataCentres()
			.stream()
			.filter((dataCentre) -> dataCentre.region().equals(region))
			.flatMap((dataCentre) -> current.get()
				.services()
				.stream()
				.flatMap((service) -> plan(dataCentre, service).stream()))
			.findFirst()
			.ifPresent((change) -> appendIntent(lease, term, change));
	}

	private Optional<ScaleChange> plan(DataCentre dataCentre, ServiceSpec service) {
		if (!service.scale().isManaged()) {
			return Optional.empty();
		}
		String fleet = dataCentre.name() + "/" + service.name();
		List<String> servers = this.directory.status()
			.stream()
			.filter((server) -> fleetOf(server).equals(fleet) && server.takesWork())
			.sorted(Comparator.comparingInt(ServerStatus::running).reversed())
			.map(ServerStatus::server)
			.toList();
		long nowMs = this.follower.clock().nowMs();
		Long changedAtMs = this.lastChangeAtMs.get(fleet);
		if (changedAtMs != null && nowMs - changedAtMs < this.settleMs) {
			return Optional.empty();
		}
		return this.planner.plan(nowMs, new FleetLoad(dataCentre.name(), service.name(), service.scale(), servers, 0,
				this.demandSlots.getOrDefault(fleet, 0.0), service.maxConcurrentPerServer()));
	}

	private void appendIntent(String lease, long term, ScaleChange change) {
		String fleet = ScaleState.fleetOf(change);
		this.lastChangeAtMs.put(fleet, this.follower.clock().nowMs());
		LOGGER.info("Appending intent to change the fleet {}: {}", fleet, change);
		this.operationInProgress = true;
		ScaleIntended intended = new ScaleIntended(UUID.randomUUID().toString(), lease, term, change,
				this.follower.state().scales().baseOf(fleet));
		this.appender.append(intended, APPEND_TIMEOUT_MS)
			.thenAccept((decision) -> this.follower.thread().run(() -> this.operationInProgress = false));
	}

	private void sendToPlatform(Authority authority, ScaleIntent intent) {
		// Read last, so that little time passes between this check and the call.
		OptionalLong term = authority.unfencedTerm();
		if (term.isEmpty()) {
			return;
		}
		this.operationInProgress = true;
		this.ordering.call(intent, term.getAsLong())
			.thenAccept((response) -> this.follower.thread().run(() -> onResponse(intent, term.getAsLong(), response)));
	}

	private void onResponse(ScaleIntent intent, long term, ServerOrdering.Result response) {
		if (response == ServerOrdering.Result.INCONCLUSIVE) {
			this.operationInProgress = false;
			return;
		}
		this.appender
			.append(new ScaleSettled(intent.scaleId(), intent.lease(), term,
					response == ServerOrdering.Result.ACCEPTED), APPEND_TIMEOUT_MS)
			.thenAccept((decision) -> this.follower.thread().run(() -> this.operationInProgress = false));
	}

}
