package io.anvilusher.gateway.control;

import java.util.List;

/**
 * The result of reading a table of the store.
 */
public sealed interface TableReadResult {

	/**
	 * A page of the newest records.
	 *
	 * @param records the records, ordered by key
	 * @param more whether further pages follow
	 * @param endOffset offset from which changes made after this page are read
	 */
	record Page(List<KeyedRecord> records, boolean more, long endOffset) implements TableReadResult {

		public Page {
			records = List.copyOf(records);
		}

	}

	/**
	 * The records written since an offset.
	 *
	 * @param records the records in log order; may be empty
	 * @param nextOffset offset after the last of them
	 * @param endOffset offset after the newest record of the table; larger than
	 * {@code nextOffset} if not all records fitted into the response
	 */
	record Changes(List<KeyedRecord> records, long nextOffset, long endOffset) implements TableReadResult {

		public Changes {
			records = List.copyOf(records);
		}

	}

	/** The store no longer keeps all records since the offset. */
	record HistoryDropped() implements TableReadResult {

	}

	/**
	 * The store returned no usable response.
	 *
	 * @param reason HTTP status or cause, for log lines
	 */
	record Unavailable(String reason) implements TableReadResult {

	}

}
