package io.anvilusher.logic.order;

import java.util.Optional;

import io.anvilusher.logic.fold.ServerOrders;
import io.anvilusher.model.fact.OrderSettled;
import io.anvilusher.model.order.EngineOrder;

/**
 * The next action of a sidecar on the orders for its engine.
 */
public sealed interface OrderStep {

	/**
	 * Selects the next step.
	 * @param orders the orders of the server
	 * @param incarnation incarnation of this sidecar, the only one that is running
	 * @param knownOutcome the newest outcome that this sidecar knows, which may belong to
	 * an earlier order
	 * @return the step
	 */
	static OrderStep next(ServerOrders orders, String incarnation, Optional<OrderSettled> knownOutcome) {
		if (orders.open().isEmpty()) {
			return new Idle();
		}
		EngineOrder order = orders.open().get();
		// An order that an earlier incarnation started is taken over by appending a start
		// of this incarnation.
		if (!order.startedBy().equals(incarnation)) {
			return new Start(order);
		}
		return knownOutcome.filter((outcome) -> outcome.orderId().equals(order.orderId()))
			.<OrderStep>map(Settle::new)
			.orElseGet(() -> new Execute(order));
	}

	/**
	 * No order is open.
	 */
	record Idle() implements OrderStep {

	}

	/**
	 * The sidecar must finish the attempts in progress and then append the start of the
	 * order to the log.
	 *
	 * @param order the order
	 */
	record Start(EngineOrder order) implements OrderStep {

	}

	/**
	 * The outcome of the order is known, but the log has not accepted it. The sidecar
	 * must append it.
	 *
	 * @param outcome the outcome
	 */
	record Settle(OrderSettled outcome) implements OrderStep {

	}

	/**
	 * The log has accepted the start by this sidecar. The sidecar must have the engine
	 * carry out the order.
	 *
	 * @param order the order
	 */
	record Execute(EngineOrder order) implements OrderStep {

	}

}
