package io.anvilusher.model.fact;

import io.anvilusher.model.order.OrderOutcome;

/**
 * A sidecar knows the outcome of an order.
 *
 * @param orderId id of the order
 * @param sidecarIncarnation incarnation of the sidecar
 * @param outcome the outcome
 */
public record OrderSettled(String orderId, String sidecarIncarnation, OrderOutcome outcome) implements Fact {

}
