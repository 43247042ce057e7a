package io.anvilusher.model.fact;

/**
 * An operator withdrew a key. A withdrawn key cannot be granted again.
 *
 * @param keyId public part of the key
 */
public record KeyWithdrawn(String keyId) implements Fact {

}
