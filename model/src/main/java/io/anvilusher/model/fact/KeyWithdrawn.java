package io.anvilusher.model.fact;

/**
 * An operator withdrew a key, for good.
 *
 * @param keyId public part of the key
 */
public record KeyWithdrawn(String keyId) implements Fact {

}
