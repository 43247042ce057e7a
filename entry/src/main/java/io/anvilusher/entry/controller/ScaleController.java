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
 * Orders and releases backend servers. Every call is preceded by its intent in the log,
 * and an intent without an answer is sent again under the same id, also by a successor.
 */
final class ScaleController implements Controller {

	private static final Logger LOGGER = LoggerFactory.getLogger(ScaleController.class);

	private static final long APPEND_TIMEOUT_MS = 4000;

	/** Share of the newest measure in the demand's moving average. */
	private static final double SMOOTHING = 0.02;

	private final ControlFollower follower;

	private final RecordAppender appender;

	private final ServerOrdering ordering;

	private final ServerDirectory directory;

	private final Supplier<Optional<Configuration>> configuration;

	private final FleetPlanner planner;

	private final long settleMs;

	private final Map<String, Double> demandSlots = new HashMap<>();

	private final Map<String, Long> orderedAtMs = new HashMap<>();

	private boolean busy;

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
	public void step(Authority authority) {
		measure();
		if (this.busy) {
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
			call(authority, open.get());
			return;
		}
		authority.term().ifPresent((term) -> intend(authority.lease(), term));
	}

	private void measure() {
		Map<String, Double> now = new HashMap<>();
		this.directory.status().forEach((server) -> now.merge(fleet(server), (double) server.running(), Double::sum));
		now.forEach((fleet, slots) -> this.demandSlots.merge(fleet, slots,
				(old, newest) -> old + SMOOTHING * (newest - old)));
	}

	private static String fleet(ServerStatus server) {
		return server.dataCentre() + "/" + server.service();
	}

	private void intend(String lease, long term) {
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
			.ifPresent((change) -> append(lease, term, change));
	}

	private Optional<ScaleChange> plan(DataCentre dataCentre, ServiceSpec service) {
		if (!service.scale().isManaged()) {
			return Optional.empty();
		}
		String fleet = dataCentre.name() + "/" + service.name();
		List<String> servers = this.directory.status()
			.stream()
			.filter((server) -> fleet(server).equals(fleet) && server.takesWork())
			.sorted(Comparator.comparingInt(ServerStatus::running).reversed())
			.map(ServerStatus::server)
			.toList();
		long nowMs = this.follower.clock().nowMs();
		Long ordered = this.orderedAtMs.get(fleet);
		if (ordered != null && nowMs - ordered < this.settleMs) {
			return Optional.empty();
		}
		return this.planner.plan(nowMs, new FleetLoad(dataCentre.name(), service.name(), service.scale(), servers, 0,
				this.demandSlots.getOrDefault(fleet, 0.0), service.maxConcurrentPerServer()));
	}

	private void append(String lease, long term, ScaleChange change) {
		String fleet = ScaleState.fleetOf(change);
		this.orderedAtMs.put(fleet, this.follower.clock().nowMs());
		LOGGER.info("Changing the fleet {}: {}", fleet, change);
		this.busy = true;
		ScaleIntended intended = new ScaleIntended(UUID.randomUUID().toString(), lease, term, change,
				this.follower.state().scales().baseOf(fleet));
		this.appender.append(intended, APPEND_TIMEOUT_MS)
			.thenAccept((decision) -> this.follower.thread().run(() -> this.busy = false));
	}

	private void call(Authority authority, ScaleIntent intent) {
		// Asked last, so that little time passes between the check and the call.
		OptionalLong term = authority.unfencedTerm();
		if (term.isEmpty()) {
			return;
		}
		this.busy = true;
		this.ordering.call(intent, term.getAsLong())
			.thenAccept((answer) -> this.follower.thread().run(() -> onAnswer(intent, term.getAsLong(), answer)));
	}

	private void onAnswer(ScaleIntent intent, long term, ServerOrdering.Answer answer) {
		if (answer == ServerOrdering.Answer.NONE) {
			this.busy = false;
			return;
		}
		this.appender
			.append(new ScaleSettled(intent.scaleId(), intent.lease(), term, answer == ServerOrdering.Answer.ACCEPTED),
					APPEND_TIMEOUT_MS)
			.thenAccept((decision) -> this.follower.thread().run(() -> this.busy = false));
	}

}
