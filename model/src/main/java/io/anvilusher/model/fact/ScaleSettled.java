package io.anvilusher.model.fact;

/**
 * The platform has accepted or refused the order or release of a backend server.
 *
 * @param scaleId id of the intent
 * @param lease lease under which the controller acted when it appended the fact
 * @param term term of that lease; the fact has no effect if the term is no longer current
 * @param accepted whether the platform accepted the change
 */
public record ScaleSettled(String scaleId, String lease, long term, boolean accepted) implements Fact {

}
