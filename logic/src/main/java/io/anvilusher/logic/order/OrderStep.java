package io.anvilusher.logic.order;

import java.util.Optional;

import io.anvilusher.logic.fold.ServerOrders;
import io.anvilusher.model.fact.OrderSettled;
import io.anvilusher.model.order.EngineOrder;

/**
 * What a sidecar does next about its engine's orders.
 */
public sealed interface OrderStep {

	/**
	 * Decides on the next step.
	 * @param orders the orders of the server
	 * @param incarnation incarnation of the sidecar, the only one that runs
	 * @param known the newest outcome that the sidecar has found out, which may be that
	 * of an earlier order
	 * @return the step
	 */
	static OrderStep next(ServerOrders orders, String incarnation, Optional<OrderSettled> known) {
		if (orders.open().isEmpty()) {
			return new Idle();
		}
		EngineOrder order = orders.open().get();
		// An order that an earlier incarnation has started is taken over by starting it
		// again.
		if (!order.startedBy().equals(incarnation)) {
			return new Start(order);
		}
		return known.filter((outcome) -> outcome.orderId().equals(order.orderId()))
			.<OrderStep>map(Settle::new)
			.orElseGet(() -> new Execute(order));
	}

	/**
	 * There is nothing to do.
	 */
	record Idle() implements OrderStep {

	}

	/**
	 * Finish the attempts in hand and then say in the log that the order starts.
	 *
	 * @param order the order
	 */
	record Start(EngineOrder order) implements OrderStep {

	}

	/**
	 * The outcome of the order is known but not yet accepted by the log.
	 *
	 * @param outcome the outcome
	 */
	record Settle(OrderSettled outcome) implements OrderStep {

	}

	/**
	 * The log has accepted that this sidecar starts the order: hand it to the engine.
	 *
	 * @param order the order
	 */
	record Execute(EngineOrder order) implements OrderStep {

	}

}
