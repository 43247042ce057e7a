package io.anvilusher.logic.fold;

import java.util.Optional;

import io.anvilusher.model.order.EngineOrder;
import io.anvilusher.model.order.EngineTarget;

/**
 * The orders of one backend server.
 *
 * @param lastOffset offset of the newest accepted record about these orders
 * @param open the order that has not ended, or empty
 * @param done the target of the newest order that was carried out, or empty
 */
public record ServerOrders(long lastOffset, Optional<EngineOrder> open, Optional<EngineTarget> done) {

	/** The orders of a server that has had none. */
	static final ServerOrders NONE = new ServerOrders(0, Optional.empty(), Optional.empty());

	ServerOrders withOpen(long offset, EngineOrder order) {
		return new ServerOrders(offset, Optional.of(order), this.done);
	}

	ServerOrders withoutOpen(long offset) {
		return new ServerOrders(offset, Optional.empty(), this.done);
	}

	ServerOrders completed(long offset, EngineTarget target) {
		return new ServerOrders(offset, Optional.empty(), Optional.of(target));
	}

}
