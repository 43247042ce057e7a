package io.anvilusher.logic.order;

import io.anvilusher.logic.fold.ServerOrders;
import io.anvilusher.model.order.EngineOrder;

/**
 * What a sidecar does next about its engine's orders.
 */
public sealed interface OrderStep {

	/**
	 * Decides on the next step.
	 * @param orders the orders of the server
	 * @param incarnation incarnation of the sidecar, the only one that runs
	 * @return the step
	 */
	static OrderStep next(ServerOrders orders, String incarnation) {
		if (orders.open().isEmpty()) {
			return new Idle();
		}
		EngineOrder order = orders.open().get();
		// An order that an earlier incarnation has started is taken over by starting it
		// again.
		return order.startedBy().equals(incarnation) ? new Execute(order) : new Start(order);
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
	 * The log has accepted that this sidecar starts the order: hand it to the engine.
	 *
	 * @param order the order
	 */
	record Execute(EngineOrder order) implements OrderStep {

	}

}
