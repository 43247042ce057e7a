package io.anvilusher.logic.fold;

import java.util.Optional;

import io.anvilusher.model.order.EngineOrder;
import io.anvilusher.model.order.EngineTarget;

/**
 * The orders of one backend server.
 *
 * @param lastOffset offset of the newest accepted record about them
 * @param open the order that has not ended, if any
 * @param done what the engine became by the newest order that was carried out, if any
 */
public record ServerOrders(long lastOffset, Optional<EngineOrder> open, Optional<EngineTarget> done) {

	/** A server without orders. */
	static final ServerOrders NONE = new ServerOrders(0, Optional.empty(), Optional.empty());

	ServerOrders opened(long offset, EngineOrder order) {
		return new ServerOrders(offset, Optional.of(order), this.done);
	}

	ServerOrders closed(long offset) {
		return new ServerOrders(offset, Optional.empty(), this.done);
	}

	ServerOrders carriedOut(long offset, EngineTarget target) {
		return new ServerOrders(offset, Optional.empty(), Optional.of(target));
	}

}
