package io.anvilusher.gateway.control;

import java.util.List;

/**
 * What the store answered to a read of a table.
 */
public sealed interface TableAnswer {

	/**
	 * A page of the newest records.
	 *
	 * @param records the records, ordered by key
	 * @param more whether further keys follow
	 * @param endOffset offset at which the changes after this page begin
	 */
	record Page(List<KeyedRecord> records, boolean more, long endOffset) implements TableAnswer {

		public Page {
			records = List.copyOf(records);
		}

	}

	/**
	 * Records that were written since an offset.
	 *
	 * @param records the records in order
	 * @param nextOffset offset after the last of them
	 */
	record Changes(List<KeyedRecord> records, long nextOffset) implements TableAnswer {

		public Changes {
			records = List.copyOf(records);
		}

	}

	/** The records since the offset are no longer kept. */
	record HistoryDropped() implements TableAnswer {

	}

	/**
	 * The store gave no usable answer.
	 *
	 * @param reason status or cause
	 */
	record Unavailable(String reason) implements TableAnswer {

	}

}
