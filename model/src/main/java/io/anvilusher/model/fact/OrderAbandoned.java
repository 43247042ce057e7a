package io.anvilusher.model.fact;

/**
 * The controller closes an order whose server is gone for good.
 *
 * @param orderId id of the order
 * @param lease lease under which the controller acts
 * @param term term of that lease
 */
public record OrderAbandoned(String orderId, String lease, long term) implements Fact {

}
