package io.anvilusher.model.fact;

/**
 * A suspected request ran alone to its end, so that the suspicion was wrong.
 *
 * @param fingerprint hash of the request
 */
public record SuspectCleared(String fingerprint) implements Fact {

}
