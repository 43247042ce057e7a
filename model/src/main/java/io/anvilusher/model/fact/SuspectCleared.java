package io.anvilusher.model.fact;

/**
 * A suspected request ran alone on a server to its end. It did not crash the server, so
 * it is no longer a suspect.
 *
 * @param fingerprint hash of the request
 */
public record SuspectCleared(String fingerprint) implements Fact {

}
