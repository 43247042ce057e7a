package io.anvilusher.model.fact;

import io.anvilusher.model.order.EngineTarget;

/**
 * The controller orders an engine to change. The fact has no effect if the term is no
 * longer current or another order for the server is open.
 *
 * @param orderId id of the order
 * @param lease lease under which the controller issues the order
 * @param term term of that lease
 * @param server name of the backend server
 * @param target the role, model, adapter and version that the engine must change to
 * @param basedOnOffset offset of the newest record about orders for the server that the
 * controller had read; 0 if it had read none
 */
public record OrderIntended(String orderId, String lease, long term, String server, EngineTarget target,
		long basedOnOffset) implements Fact {

}
