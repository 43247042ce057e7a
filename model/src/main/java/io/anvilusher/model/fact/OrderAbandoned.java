package io.anvilusher.model.fact;

/**
 * The controller closes an order whose backend server no longer exists.
 *
 * @param orderId id of the order
 * @param lease lease under which the controller acted when it appended the fact
 * @param term term of that lease; the fact has no effect if the term is no longer current
 */
public record OrderAbandoned(String orderId, String lease, long term) implements Fact {

}
