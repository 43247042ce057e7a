package io.anvilusher.gateway.control;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/**
 * A table of the platform's store that keeps the newest record of each key.
 */
public interface StoreTable {

	/**
	 * Reads a page of the newest records.
	 * @param afterKey last key of the previous page; empty for the first page
	 * @return the result; completes normally in any case
	 */
	CompletableFuture<TableReadResult> page(Optional<String> afterKey);

	/**
	 * Writes the record of a key.
	 * @param key the key, at most 255 bytes
	 * @param value the value; empty to remove the key
	 * @return whether the store confirmed it; an unconfirmed record may still appear in
	 * the table. Completes normally in any case.
	 */
	CompletableFuture<Boolean> write(String key, Optional<byte[]> value);

	/**
	 * Reads the records written from an offset on; waits for one if there is none yet.
	 * @param fromOffset offset of the first record to read
	 * @param waitMs longest time to wait for a record, in ms
	 * @return the result; completes normally in any case
	 */
	CompletableFuture<TableReadResult> changes(long fromOffset, long waitMs);

	/**
	 * Returns the era of the store, which rises each time that the store returns from an
	 * older copy: the newest records are then lost, and their offsets are given out
	 * again. May be called on any thread.
	 * @return the highest era that a response to a call of this table named, or empty if
	 * none did
	 */
	default OptionalLong storeEra() {
		return OptionalLong.empty();
	}

}
