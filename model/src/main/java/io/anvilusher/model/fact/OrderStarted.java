package io.anvilusher.model.fact;

/**
 * A sidecar is about to hand an order to its engine. It does so only once this fact was
 * accepted.
 *
 * @param orderId id of the order
 * @param sidecarIncarnation incarnation of the sidecar
 */
public record OrderStarted(String orderId, String sidecarIncarnation) implements Fact {

}
