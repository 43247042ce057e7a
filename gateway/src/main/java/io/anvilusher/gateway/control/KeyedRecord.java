package io.anvilusher.gateway.control;

import java.util.Optional;

/**
 * The newest record of a key in a table of the store.
 *
 * @param key the key, unique within the table
 * @param value the encoded value; empty if the key was removed
 */
public record KeyedRecord(String key, Optional<byte[]> value) {

}
