package io.anvilusher.model.fact;

import io.anvilusher.model.order.OrderOutcome;

/**
 * A sidecar reports the outcome of an order.
 *
 * @param orderId id of the order
 * @param sidecarIncarnation incarnation of the sidecar, which must be the one that
 * started the order last
 * @param outcome how the order ended
 */
public record OrderSettled(String orderId, String sidecarIncarnation, OrderOutcome outcome) implements Fact {

}
