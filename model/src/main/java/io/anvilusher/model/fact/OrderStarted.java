package io.anvilusher.model.fact;

/**
 * A sidecar is ready to have its engine carry out an order. It does so only after this
 * fact was accepted.
 *
 * @param orderId id of the order
 * @param sidecarIncarnation incarnation of the sidecar
 */
public record OrderStarted(String orderId, String sidecarIncarnation) implements Fact {

}
