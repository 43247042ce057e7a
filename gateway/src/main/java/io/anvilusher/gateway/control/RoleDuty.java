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

import io.anvilusher.adapters.control.ControlThread;
import io.anvilusher.adapters.metrics.Meters;
import io.anvilusher.adapters.process.MonotonicClock;
import io.anvilusher.gateway.control.EngineCalls.EngineReport;
import io.anvilusher.logic.role.EngineState;
import io.anvilusher.logic.role.RoleChange;
import io.anvilusher.logic.role.RolePlanner;
import io.anvilusher.model.fleet.RegisteredServer;

/**
 * Watches the model engines while this process holds the duties, and orders changes of
 * their roles. Works on the control thread.
 */
public final class RoleDuty {

	private static final Logger LOGGER = LoggerFactory.getLogger(RoleDuty.class);

	/** Pause between two looks at the engines, in ms. Source: time of a change. */
	private static final long LOOK_MS = 1_500;

	/**
	 * Time without a further order to an engine whose answer to one was lost, in ms.
	 * Source: a late order is carried out within seconds.
	 */
	private static final long UNKNOWN_MS = 10_000;

	private final DutyMembership membership;

	private final String holderName;

	private final EngineCalls calls;

	private final Supplier<List<RegisteredServer>> servers;

	private final ControlThread thread;

	private final MonotonicClock clock;

	private final Meters meters;

	private final Map<String, Long> untouchedUntilMs = new HashMap<>();

	private Map<String, RolePlanner> planners = new HashMap<>();

	private boolean looking;

	/**
	 * Creates the controller.
	 * @param membership this process's standing for the duties
	 * @param holderName name of this process in orders
	 * @param calls the engines' control interface
	 * @param servers the servers in use, read on the control thread
	 * @param context thread, clock and meters
	 */
	public RoleDuty(DutyMembership membership, String holderName, EngineCalls calls,
			Supplier<List<RegisteredServer>> servers, TableFollower.ControlContext context) {
		this.membership = membership;
		this.holderName = holderName;
		this.calls = calls;
		this.servers = servers;
		this.thread = context.thread();
		this.clock = context.clock();
		this.meters = context.meters();
	}

	/**
	 * Starts to watch.
	 */
	public void start() {
		this.thread.every(LOOK_MS, this::look);
	}

	private void look() {
		if (!this.membership.mayAct()) {
			// Another process decides; what was seen before is of no use later.
			this.planners = new HashMap<>();
			return;
		}
		if (this.looking) {
			return;
		}
		this.looking = true;
		List<CompletableFuture<Void>> services = this.servers.get()
			.stream()
			.filter((server) -> server.role().isPresent() && !server.draining())
			.collect(Collectors.groupingBy(RegisteredServer::service))
			.entrySet()
			.stream()
			.map((entry) -> look(entry.getKey(), entry.getValue()))
			.toList();
		CompletableFuture.allOf(services.toArray(CompletableFuture[]::new)).whenComplete((ignored, failure) -> {
			if (failure != null) {
				LOGGER.error("A look at the engines failed", failure);
			}
			this.thread.run(() -> this.looking = false);
		});
	}

	private CompletableFuture<Void> look(String service, List<RegisteredServer> engines) {
		List<CompletableFuture<Optional<Observed>>> asked = engines.stream()
			.map((engine) -> this.calls.report(engine)
				.thenApply((report) -> report.map((present) -> new Observed(engine, present))))
			.toList();
		return CompletableFuture.allOf(asked.toArray(CompletableFuture[]::new)).thenAccept((ignored) -> {
			List<Observed> seen = asked.stream().flatMap((answer) -> answer.join().stream()).toList();
			this.thread.run(() -> plan(service, engines.size(), seen));
		});
	}

	private void plan(String service, int engines, List<Observed> seen) {
		if (!this.membership.mayAct()) {
			return;
		}
		long nowMs = this.clock.nowMs();
		Map<String, Observed> byId = seen.stream()
			.collect(Collectors.toMap((observed) -> observed.engine().id(), (observed) -> observed));
		List<EngineState> states = seen.stream()
			.map((observed) -> observed.state(this.untouchedUntilMs, nowMs))
			.toList();
		List<RoleChange> changes = this.planners.computeIfAbsent(service, (name) -> new RolePlanner())
			.plan(states, nowMs);
		changes.forEach((change) -> order(byId.get(change.engineId()), change, engines));
	}

	private void order(Observed target, RoleChange change, int engines) {
		long token = this.membership.act();
		this.calls
			.changeRole(target.engine(), change.role(), new EngineCalls.ActingDuty(this.holderName, token),
					target.report().ordersAccepted())
			.thenAccept((outcome) -> this.thread.run(() -> onOutcome(target, change, token, engines, outcome)));
	}

	private void onOutcome(Observed target, RoleChange change, long token, int engines, EngineCalls.Outcome outcome) {
		this.meters.counter("anvilusher.engine.orders", "outcome", outcome.name()).increment();
		LOGGER.atInfo()
			.addKeyValue("server", target.engine().id())
			.addKeyValue("service", target.engine().service())
			.addKeyValue("engines", engines)
			.addKeyValue("requests", target.report().requests())
			.addKeyValue("orders_before", target.report().ordersAccepted())
			.addKeyValue("token", token)
			.addKeyValue("outcome", outcome)
			.log("Engine was ordered to take the role {}", change.role());
		if (outcome == EngineCalls.Outcome.FENCED) {
			this.membership.onFenced(token);
		}
		if (outcome == EngineCalls.Outcome.UNKNOWN || outcome == EngineCalls.Outcome.REFUSED) {
			this.untouchedUntilMs.put(target.engine().id(), this.clock.nowMs() + UNKNOWN_MS);
		}
		this.untouchedUntilMs.values().removeIf((untilMs) -> untilMs < this.clock.nowMs());
	}

	private record Observed(RegisteredServer engine, EngineReport report) {

		EngineState state(Map<String, Long> untouchedUntilMs, long nowMs) {
			boolean untouched = untouchedUntilMs.getOrDefault(this.engine.id(), Long.MIN_VALUE) > nowMs;
			return new EngineState(this.engine.id(), this.engine.dataCentre(), this.report.role(), this.engine.slots(),
					this.report.requests(), this.report.changing() || untouched, this.report.ordersAccepted() > 0);
		}

	}

}
