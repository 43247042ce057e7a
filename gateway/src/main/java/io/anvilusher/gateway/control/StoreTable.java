package io.anvilusher.gateway.control;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * A table of the platform's store that keeps the newest record of each key.
 */
public interface StoreTable {

	/**
	 * Reads a page of the newest records.
	 * @param afterKey last key of the page before; empty for the first page
	 * @return the answer; never fails
	 */
	CompletableFuture<TableAnswer> page(Optional<String> afterKey);

	/**
	 * Reads the records from an offset, and waits for one if there is none.
	 * @param fromOffset the offset
	 * @param waitMs longest time to wait for a record, in ms
	 * @return the answer; never fails
	 */
	CompletableFuture<TableAnswer> changes(long fromOffset, long waitMs);

}
