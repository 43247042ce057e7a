package io.anvilusher.model.fact;

/**
 * The platform has answered an order or release of a backend server.
 *
 * @param scaleId id of the intent
 * @param lease lease under which the controller acts
 * @param term term of that lease
 * @param accepted whether the platform took the order
 */
public record ScaleSettled(String scaleId, String lease, long term, boolean accepted) implements Fact {

}
