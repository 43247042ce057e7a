package io.anvilusher.adapters.platform;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's append-only log. Offsets start at 1 and grow by 1.
 */
public interface PlatformLog {

	/**
	 * Appends a record.
	 * @param record bytes of the record
	 * @return what is known of the append; never fails exceptionally
	 */
	CompletableFuture<AppendResult> append(byte[] record);

	/**
	 * Reads records in order.
	 * @param fromOffset first offset wanted
	 * @param waitMs longest time to wait for a record when there is none yet
	 * @return the records; never fails exceptionally
	 */
	CompletableFuture<ReadResult> read(long fromOffset, long waitMs);

	/**
	 * What is known of an append.
	 */
	sealed interface AppendResult {

		/**
		 * The record is in the log.
		 *
		 * @param offset its place
		 */
		record Appended(long offset) implements AppendResult {

		}

		/**
		 * The log takes no more records at the moment; this one was not appended.
		 */
		record Limited() implements AppendResult {

		}

		/**
		 * There is no answer; the record may be in the log, or come into it later.
		 *
		 * @param cause what happened
		 */
		record Unanswered(String cause) implements AppendResult {

		}

	}

	/**
	 * What a read gave.
	 */
	sealed interface ReadResult {

		/**
		 * Records of the log.
		 *
		 * @param earliestOffset oldest offset that the log still holds
		 * @param endOffset newest offset at the time of the read; 0 for an empty log
		 * @param records the records, which need not reach the end
		 */
		record Records(long earliestOffset, long endOffset, List<RawRecord> records) implements ReadResult {

			public Records {
				records = List.copyOf(records);
			}

		}

		/**
		 * The log could not be read.
		 *
		 * @param cause what happened
		 */
		record Unavailable(String cause) implements ReadResult {

		}

	}

	/**
	 * A record as the log holds it.
	 *
	 * @param offset its place
	 * @param bytes its bytes
	 */
	record RawRecord(long offset, byte[] bytes) {

	}

}
