package io.anvilusher.model.fact;

import io.anvilusher.model.order.EngineTarget;

/**
 * The controller orders an engine to change. Without effect when the term is over or
 * another order for the server is open.
 *
 * @param orderId id of the order
 * @param lease lease under which the controller acts
 * @param term term of that lease
 * @param server the backend server
 * @param target what the engine shall become
 * @param basedOnOffset offset of the newest record about the server's orders that the
 * controller had read; 0 when there was none
 */
public record OrderIntended(String orderId, String lease, long term, String server, EngineTarget target,
		long basedOnOffset) implements Fact {

}
