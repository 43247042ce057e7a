package io.anvilusher.entry.controller;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.UUID;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.anvilusher.adapters.control.ControlFollower;
import io.anvilusher.adapters.control.RecordAppender;
import io.anvilusher.entry.dispatch.ServerDirectory;
import io.anvilusher.entry.dispatch.ServerDirectory.ServerStatus;
import io.anvilusher.entry.fleet.FleetWatcher;
import io.anvilusher.logic.fold.OrderState;
import io.anvilusher.logic.order.OrderPlanner;
import io.anvilusher.logic.order.OrderPlanner.PlannedOrder;
import io.anvilusher.model.config.Configuration;
import io.anvilusher.model.fact.Fact;
import io.anvilusher.model.fact.OrderAbandoned;
import io.anvilusher.model.fact.OrderIntended;
import io.anvilusher.model.fleet.Vm;
import io.anvilusher.model.order.EngineOrder;

/**
 * Appends orders for engines. An order is a record of the log: the sidecar next to the
 * engine executes it only if it was accepted when the log was folded, so nothing that
 * this process sends can take effect after its term.
 */
final class OrderController implements Controller {

	private static final Logger LOGGER = LoggerFactory.getLogger(OrderController.class);

	private static final long APPEND_TIMEOUT_MS = 4000;

	private final ControlFollower follower;

	private final RecordAppender appender;

	private final FleetWatcher fleet;

	private final ServerDirectory directory;

	private final Supplier<Optional<Configuration>> configuration;

	private boolean appending;

	OrderController(ControlFollower follower, RecordAppender appender, FleetWatcher fleet, ServerDirectory directory,
			Supplier<Optional<Configuration>> configuration) {
		this.follower = follower;
		this.appender = appender;
		this.fleet = fleet;
		this.directory = directory;
		this.configuration = configuration;
	}

	@Override
	public void reconcile(Authority authority) {
		OptionalLong term = authority.term();
		if (this.appending || term.isEmpty() || this.configuration.get().isEmpty() || this.fleet.vms().isEmpty()) {
			return;
		}
		OrderState orders = this.follower.state().orders();
		Optional<Fact> next = nextAbandonment(authority.lease(), term.getAsLong(), orders)
			.or(() -> nextIntent(authority.lease(), term.getAsLong(), orders));
		next.ifPresent(this::append);
	}

	private Optional<Fact> nextAbandonment(String lease, long term, OrderState orders) {
		Set<String> listed = this.fleet.vms().stream().map(Vm::vm).collect(Collectors.toSet());
		Set<String> connected = this.directory.status().stream().map(ServerStatus::server).collect(Collectors.toSet());
		return orders.byServer()
			.values()
			.stream()
			.flatMap((server) -> server.open().stream())
			.filter((order) -> !listed.contains(order.server()) && !connected.contains(order.server()))
			.map(EngineOrder::orderId)
			.findFirst()
			.map((orderId) -> new OrderAbandoned(orderId, lease, term));
	}

	private Optional<Fact> nextIntent(String lease, long term, OrderState orders) {
		Set<String> takingWork = this.directory.status()
			.stream()
			.filter(ServerStatus::takesWork)
			.map(ServerStatus::server)
			.collect(Collectors.toSet());
		return this.configuration.get()
			.stream()
			.flatMap((current) -> current.services().stream())
			.flatMap((service) -> OrderPlanner.next(service, this.fleet.vms(), orders, takingWork::contains).stream())
			.findFirst()
			.map((planned) -> intentFor(lease, term, orders, planned));
	}

	private static OrderIntended intentFor(String lease, long term, OrderState orders, PlannedOrder planned) {
		return new OrderIntended(UUID.randomUUID().toString(), lease, term, planned.server(), planned.target(),
				orders.of(planned.server()).lastOffset());
	}

	private void append(Fact fact) {
		LOGGER.info("Appending engine order record {}", fact);
		this.appending = true;
		this.appender.append(fact, APPEND_TIMEOUT_MS)
			.thenAccept((decision) -> this.follower.thread().run(() -> this.appending = false));
	}

}
