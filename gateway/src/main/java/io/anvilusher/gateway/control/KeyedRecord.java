package io.anvilusher.gateway.control;

import java.util.Optional;

/**
 * The newest record of a key in a table of the store.
 *
 * @param key the key
 * @param value the value; empty when the key was removed
 */
public record KeyedRecord(String key, Optional<byte[]> value) {

}
