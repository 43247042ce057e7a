package io.anvilusher.gateway.control;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * A table of the platform's store that is written only if nothing was written to it since
 * it was read. The newest record of each key is kept for good.
 */
public interface ConditionalTable {

	/** Era of a store that names none. */
	long ERA_NOT_NAMED = -1;

	/**
	 * Reads all records.
	 * @return a {@link Result.Snapshot}, or why there is none; completes normally in any
	 * case
	 */
	CompletableFuture<Result> read();

	/**
	 * Appends records, all or none, if the table still ends at an offset. An append
	 * without a response may be done later, on the same condition.
	 * @param records the records
	 * @param endOffset offset at which the table has to end
	 * @return {@link Result.Appended}, or why it is not known to be done; completes
	 * normally in any case
	 */
	CompletableFuture<Result> append(List<KeyedRecord> records, long endOffset);

	/**
	 * The result of a call.
	 */
	sealed interface Result {

		/**
		 * All records, as of one moment.
		 *
		 * @param values value by key
		 * @param endOffset offset at which the table ends
		 * @param era era of the store that the response names, or {@link #ERA_NOT_NAMED}
		 */
		record Snapshot(Map<String, byte[]> values, long endOffset, long era) implements Result {

			public Snapshot {
				values = Map.copyOf(values);
			}

		}

		/**
		 * The records were appended.
		 *
		 * @param endOffset offset at which the table ends now
		 * @param era era of the store that the response names, or {@link #ERA_NOT_NAMED}
		 */
		record Appended(long endOffset, long era) implements Result {

		}

		/** The table has changed, so nothing was appended. */
		record Changed() implements Result {

		}

		/**
		 * Nothing was done, and nothing will be.
		 *
		 * @param reason HTTP status or cause, for log lines
		 */
		record NotDone(String reason) implements Result {

		}

		/**
		 * There is no usable response. An append may have been done, or may be done
		 * later.
		 *
		 * @param reason HTTP status or cause, for log lines
		 */
		record Unknown(String reason) implements Result {

		}

	}

}
