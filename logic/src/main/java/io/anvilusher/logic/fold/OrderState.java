package io.anvilusher.logic.fold;

import java.util.Map;
import java.util.Optional;

import io.anvilusher.model.fact.OrderAbandoned;
import io.anvilusher.model.fact.OrderIntended;
import io.anvilusher.model.fact.OrderSettled;
import io.anvilusher.model.fact.OrderStarted;
import io.anvilusher.model.order.EngineOrder;
import io.anvilusher.model.order.OrderOutcome;

/**
 * The orders that change model engines. A server has at most one open order. A sidecar
 * may carry out an order only after the log accepted its start, and the first start is
 * accepted only while the term of the order is current. A new term ends all orders of
 * earlier terms of its lease that were not started.
 *
 * @param byServer the orders by name of the backend server
 */
public record OrderState(Map<String, ServerOrders> byServer) {

	/** The state before the first order. */
	static final OrderState EMPTY = new OrderState(Map.of());

	public OrderState {
		byServer = PersistentMaps.of(byServer);
	}

	/**
	 * Returns the orders of a server.
	 * @param server name of the backend server
	 * @return its orders; without any order if the log holds none for the server
	 */
	public ServerOrders of(String server) {
		return this.byServer.getOrDefault(server, ServerOrders.NONE);
	}

	/**
	 * Finds an open order, started or not.
	 * @param orderId id of the order
	 * @return the order, or empty if none of that id is open
	 */
	public Optional<EngineOrder> findOpen(String orderId) {
		return this.byServer.values()
			.stream()
			.flatMap((orders) -> orders.open().stream())
			.filter((order) -> order.orderId().equals(orderId))
			.findFirst();
	}

	FoldResult<OrderState> intend(long offset, OrderIntended fact, LeaseState leases) {
		ServerOrders orders = of(fact.server());
		if (!leases.isCurrent(fact.lease(), fact.term())) {
			return FoldResult.refused(this, Verdict.TERM_OVER);
		}
		if (orders.open().isPresent()) {
			return FoldResult.refused(this, Verdict.ORDER_OPEN);
		}
		if (orders.lastOffset() != fact.basedOnOffset()) {
			return FoldResult.refused(this, Verdict.STALE_BASE);
		}
		EngineOrder order = new EngineOrder(fact.orderId(), fact.lease(), fact.term(), offset, fact.server(),
				fact.target(), "");
		return FoldResult.accepted(with(fact.server(), orders.withOpen(offset, order)));
	}

	FoldResult<OrderState> start(long offset, OrderStarted fact, LeaseState leases) {
		Optional<EngineOrder> open = findOpen(fact.orderId());
		if (open.isEmpty()) {
			return FoldResult.refused(this, Verdict.NOT_OPEN);
		}
		EngineOrder order = open.get();
		if (!order.isStarted() && !leases.isCurrent(order.lease(), order.term())) {
			return FoldResult.refused(this, Verdict.TERM_OVER);
		}
		EngineOrder started = order.startedBy(fact.sidecarIncarnation());
		return FoldResult.accepted(with(order.server(), of(order.server()).withOpen(offset, started)));
	}

	FoldResult<OrderState> settle(long offset, OrderSettled fact) {
		Optional<EngineOrder> open = findOpen(fact.orderId())
			.filter((order) -> order.startedBy().equals(fact.sidecarIncarnation()));
		if (open.isEmpty()) {
			return FoldResult.refused(this, Verdict.NOT_OPEN);
		}
		EngineOrder order = open.get();
		ServerOrders orders = of(order.server());
		boolean done = fact.outcome() == OrderOutcome.DONE;
		return FoldResult.accepted(
				with(order.server(), done ? orders.completed(offset, order.target()) : orders.withoutOpen(offset)));
	}

	FoldResult<OrderState> abandon(OrderAbandoned fact, LeaseState leases) {
		Optional<EngineOrder> open = findOpen(fact.orderId());
		if (open.isEmpty()) {
			return FoldResult.refused(this, Verdict.NOT_OPEN);
		}
		if (!leases.isCurrent(fact.lease(), fact.term())) {
			return FoldResult.refused(this, Verdict.TERM_OVER);
		}
		return FoldResult.accepted(new OrderState(PersistentMaps.without(this.byServer, open.get().server())));
	}

	OrderState endUnstarted(long offset, String lease) {
		OrderState result = this;
		for (Map.Entry<String, ServerOrders> entry : this.byServer.entrySet()) {
			boolean ends = entry.getValue()
				.open()
				.filter((order) -> order.lease().equals(lease) && !order.isStarted())
				.isPresent();
			if (ends) {
				result = result.with(entry.getKey(), entry.getValue().withoutOpen(offset));
			}
		}
		return result;
	}

	private OrderState with(String server, ServerOrders orders) {
		return new OrderState(PersistentMaps.with(this.byServer, server, orders));
	}

}
