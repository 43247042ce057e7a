package io.anvilusher.gateway.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.anvilusher.adapters.metrics.Meters;
import io.anvilusher.adapters.process.MonotonicClock;
import io.anvilusher.gateway.control.EngineControlClient.EngineReport;
import io.anvilusher.logic.role.EngineState;
import io.anvilusher.logic.role.PendingOrders;
import io.anvilusher.logic.role.RoleChange;
import io.anvilusher.logic.role.RolePlanner;
import io.anvilusher.model.fleet.EngineRole;
import io.anvilusher.model.fleet.RegisteredServer;

/**
 * Polls the model engines while this process holds the duties, and orders them to change
 * between the prefill and decode roles as the load requires. Runs on the control thread.
 */
public final class RoleController {

	private static final Logger LOGGER = LoggerFactory.getLogger(RoleController.class);

	/** Interval of the polls; about the time that an engine takes to change its role. */
	private static final long POLL_INTERVAL_MS = 1_500;

	/**
	 * Time for which an engine that refused an order gets no further one; a few polls.
	 */
	private static final long REFUSED_HOLD_MS = 10_000;

	private final DutyMembership membership;

	private final String holderName;

	private final EngineControlClient client;

	private final Supplier<List<RegisteredServer>> servers;

	private final ControlTasks thread;

	private final MonotonicClock clock;

	private final Meters meters;

	private final Map<String, Long> onHoldUntilMs = new HashMap<>();

	private final PendingOrders pendingOrders = new PendingOrders();

	private Map<String, RolePlanner> planners = new HashMap<>();

	private boolean polling;

	/**
	 * Creates the controller.
	 * @param membership provides whether this process holds the duties
	 * @param holderName name of this process in orders
	 * @param client client of the engines' control interface
	 * @param servers returns the servers in use; called by the tasks
	 * @param thread runs all tasks, one at a time
	 * @param clock the monotonic clock
	 * @param meters the metrics of this process
	 */
	public RoleController(DutyMembership membership, String holderName, EngineControlClient client,
			Supplier<List<RegisteredServer>> servers, ControlTasks thread, MonotonicClock clock, Meters meters) {
		this.membership = membership;
		this.holderName = holderName;
		this.client = client;
		this.servers = servers;
		this.thread = thread;
		this.clock = clock;
		this.meters = meters;
	}

	/**
	 * Starts to poll the engines.
	 */
	public void start() {
		this.thread.every(POLL_INTERVAL_MS, this::poll);
	}

	private void poll() {
		if (!this.membership.mayAct()) {
			// Another process may hold the duties now, so earlier observations are out of
			// date when this one gets them back.
			this.planners = new HashMap<>();
			return;
		}
		if (this.polling) {
			return;
		}
		this.polling = true;
		List<CompletableFuture<Void>> services = this.servers.get()
			.stream()
			.filter((server) -> server.role().isPresent() && !server.draining())
			.collect(Collectors.groupingBy(RegisteredServer::service))
			.entrySet()
			.stream()
			.map((entry) -> poll(entry.getKey(), entry.getValue()))
			.toList();
		CompletableFuture.allOf(services.toArray(CompletableFuture[]::new)).whenComplete((ignored, failure) -> {
			if (failure != null) {
				LOGGER.error("Polling the engines failed; the next poll follows", failure);
			}
			this.thread.execute(() -> this.polling = false);
		});
	}

	private CompletableFuture<Void> poll(String service, List<RegisteredServer> engines) {
		List<CompletableFuture<Optional<ObservedEngine>>> reports = engines.stream()
			.map((engine) -> this.client.report(engine)
				.thenApply((report) -> report.map((present) -> new ObservedEngine(engine, present))))
			.toList();
		return CompletableFuture.allOf(reports.toArray(CompletableFuture[]::new)).thenAccept((ignored) -> {
			List<ObservedEngine> observed = reports.stream().flatMap((report) -> report.join().stream()).toList();
			this.thread.execute(() -> plan(service, engines.size(), observed));
		});
	}

	private void plan(String service, int engines, List<ObservedEngine> observedEngines) {
		if (!this.membership.mayAct()) {
			return;
		}
		long nowMs = this.clock.nowMs();
		Map<String, ObservedEngine> byId = observedEngines.stream()
			.collect(Collectors.toMap((observed) -> observed.engine().id(), (observed) -> observed));
		this.onHoldUntilMs.values().removeIf((untilMs) -> untilMs < nowMs);
		List<EngineState> states = observedEngines.stream().map((observed) -> state(observed, nowMs)).toList();
		List<RoleChange> changes = this.planners.computeIfAbsent(service, (name) -> new RolePlanner())
			.plan(states, nowMs);
		changes.forEach((change) -> order(byId.get(change.engineId()), change, engines));
	}

	private EngineState state(ObservedEngine observed, long nowMs) {
		RegisteredServer engine = observed.engine();
		EngineReport report = observed.report();
		Optional<EngineRole> pendingRole = this.pendingOrders.onReport(engine.id(), report.role(), report.changing(),
				nowMs);
		boolean changing = report.changing() || pendingRole.isPresent() || this.onHoldUntilMs.containsKey(engine.id());
		return new EngineState(engine.id(), engine.dataCentre(), engine.softwareVersion(), report.role(), pendingRole,
				engine.slots(), report.requests(), changing, report.ordersAccepted() > 0);
	}

	private void order(ObservedEngine target, RoleChange change, int engines) {
		long fencingToken = this.membership.beginAction();
		this.pendingOrders.onSent(target.engine().id(), change.role(), this.clock.nowMs());
		this.client.changeRole(target.engine(), change.role(),
				new EngineControlClient.OrderIssuer(this.holderName, fencingToken), target.report().ordersAccepted())
			.thenAccept(
					(outcome) -> this.thread.execute(() -> onOutcome(target, change, fencingToken, engines, outcome)));
	}

	private void onOutcome(ObservedEngine target, RoleChange change, long fencingToken, int engines,
			EngineControlClient.Outcome outcome) {
		this.meters.counter("anvilusher.engine.orders", "outcome", outcome.name()).increment();
		LOGGER.atInfo()
			.addKeyValue("server", target.engine().id())
			.addKeyValue("service", target.engine().service())
			.addKeyValue("engines", engines)
			.addKeyValue("requests", target.report().requests())
			.addKeyValue("orders_before", target.report().ordersAccepted())
			.addKeyValue("token", fencingToken)
			.addKeyValue("outcome", outcome)
			.log("Engine was ordered to take the role {}", change.role());
		if (outcome == EngineControlClient.Outcome.FENCED) {
			this.membership.onFenced(fencingToken);
		}
		if (outcome == EngineControlClient.Outcome.REFUSED || outcome == EngineControlClient.Outcome.CONFLICT
				|| outcome == EngineControlClient.Outcome.FENCED || outcome == EngineControlClient.Outcome.HELD_BACK) {
			this.pendingOrders.onRejected(target.engine().id());
		}
		if (outcome == EngineControlClient.Outcome.REFUSED) {
			this.onHoldUntilMs.put(target.engine().id(), this.clock.nowMs() + REFUSED_HOLD_MS);
		}
	}

	private record ObservedEngine(RegisteredServer engine, EngineReport report) {

	}

}
