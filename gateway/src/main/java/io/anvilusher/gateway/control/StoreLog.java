package io.anvilusher.gateway.control;

import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/**
 * A log in the platform's store that the gateways share.
 */
public interface StoreLog {

	/**
	 * Appends records, all or none.
	 * @param contents the encoded records
	 * @return whether the store confirmed them; unconfirmed records may still appear in
	 * the log
	 */
	CompletableFuture<Boolean> append(List<byte[]> contents);

	/**
	 * Appends a record.
	 * @param content the encoded record
	 * @return whether the store confirmed it; an unconfirmed record may still appear in
	 * the log
	 */
	default CompletableFuture<Boolean> append(byte[] content) {
		return append(List.of(content));
	}

	/**
	 * Reads the records from an offset on; waits for one if there is none yet.
	 * @param fromOffset offset of the first record to read
	 * @param waitMs longest time to wait for a record, in ms
	 * @return the result; completes normally in any case
	 */
	CompletableFuture<ReadResult> read(long fromOffset, long waitMs);

	/**
	 * Returns the era of the store, which rises each time that the store returns from an
	 * older copy: the newest records are then lost, and their offsets are given out
	 * again. May be called on any thread.
	 * @return the highest era that a response to a call of this log named, or empty if
	 * none did
	 */
	OptionalLong storeEra();

	/**
	 * The result of a read.
	 */
	sealed interface ReadResult {

		/**
		 * Records were read.
		 *
		 * @param contents the encoded records in log order; may be empty
		 * @param nextOffset offset after the last of them
		 * @param endOffset offset after the newest record of the log
		 * @param firstOffset offset of the oldest record that is kept
		 */
		record Records(List<byte[]> contents, long nextOffset, long endOffset, long firstOffset) implements ReadResult {

			public Records {
				contents = List.copyOf(contents);
			}

		}

		/**
		 * The store no longer keeps the records at the offset.
		 *
		 * @param firstOffset offset of the oldest record that is kept
		 */
		record HistoryDropped(long firstOffset) implements ReadResult {

		}

		/**
		 * The store returned no usable response.
		 *
		 * @param reason HTTP status or cause, for log lines
		 */
		record Unavailable(String reason) implements ReadResult {

		}

	}

}
