package io.anvilusher.gateway.control;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * A log in the platform's store that the gateways share.
 */
public interface StoreLog {

	/**
	 * Appends a record.
	 * @param content content of the record
	 * @return whether the store accepted it; if not, it may still appear in the log
	 */
	CompletableFuture<Boolean> append(byte[] content);

	/**
	 * Reads the records from an offset, and waits for one if there is none.
	 * @param fromOffset the offset
	 * @param waitMs longest time to wait for a record, in ms
	 * @return the answer; never fails
	 */
	CompletableFuture<Read> read(long fromOffset, long waitMs);

	/**
	 * What a read gave.
	 */
	sealed interface Read {

		/**
		 * Records.
		 *
		 * @param contents contents in order
		 * @param nextOffset offset after the last of them
		 * @param endOffset end of the log
		 */
		record Records(List<byte[]> contents, long nextOffset, long endOffset) implements Read {

			public Records {
				contents = List.copyOf(contents);
			}

		}

		/**
		 * The records at the offset are no longer kept.
		 *
		 * @param firstOffset oldest offset that is kept
		 */
		record Dropped(long firstOffset) implements Read {

		}

		/**
		 * The store gave no usable answer.
		 *
		 * @param reason status or cause
		 */
		record Failed(String reason) implements Read {

		}

	}

}
