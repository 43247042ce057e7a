package io.anvilusher.adapters.platform;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * The control log: an append-only log kept by the platform. Offsets start at 1 and
 * increase by 1.
 */
public interface PlatformLog {

	/**
	 * Appends a record.
	 * @param record bytes of the record
	 * @return result of the append; never completes exceptionally
	 */
	CompletableFuture<AppendResult> append(byte[] record);

	/**
	 * Reads records in the order of their offsets.
	 * @param fromOffset first offset to read
	 * @param waitMs maximum time for which the log waits if there is no record yet, in ms
	 * @return result of the read; never completes exceptionally
	 */
	CompletableFuture<ReadResult> read(long fromOffset, long waitMs);

	/**
	 * Result of an append.
	 */
	sealed interface AppendResult {

		/**
		 * The record is in the log.
		 *
		 * @param offset offset of the record
		 */
		record Appended(long offset) implements AppendResult {

		}

		/**
		 * The log rejected the record because of a rate limit; it was not appended.
		 */
		record RateLimited() implements AppendResult {

		}

		/**
		 * There was no conclusive response. The record may be in the log, or may still be
		 * appended later.
		 *
		 * @param cause description of the failure
		 */
		record Unconfirmed(String cause) implements AppendResult {

		}

	}

	/**
	 * Result of a read.
	 */
	sealed interface ReadResult {

		/**
		 * The log was read.
		 *
		 * @param earliestOffset oldest offset that the log still holds
		 * @param endOffset newest offset at the time of the read; 0 for an empty log
		 * @param records the records, which may end before {@code endOffset}
		 */
		record Records(long earliestOffset, long endOffset, List<RawRecord> records) implements ReadResult {

			public Records {
				records = List.copyOf(records);
			}

		}

		/**
		 * The log could not be read.
		 *
		 * @param cause description of the failure
		 */
		record Unavailable(String cause) implements ReadResult {

		}

	}

	/**
	 * An encoded record of the log.
	 *
	 * @param offset offset of the record
	 * @param bytes encoded record
	 */
	record RawRecord(long offset, byte[] bytes) {

	}

}
