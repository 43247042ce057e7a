package io.anvilusher.adapters.control;

import io.anvilusher.logic.fold.Verdict;

/**
 * The decision whether a record that this process appended took effect.
 */
public sealed interface RecordDecision {

	/**
	 * Returns whether the record is known to have taken effect.
	 * @return whether it is
	 */
	default boolean isAccepted() {
		return this instanceof Decided decided && decided.verdict().isAccepted();
	}

	/**
	 * The record was read back from the log, so that its offset and effect are final.
	 *
	 * @param offset offset of the record in the log
	 * @param verdict verdict of the fold
	 */
	record Decided(long offset, Verdict verdict) implements RecordDecision {

	}

	/**
	 * The record was not read back before the timeout. It may still take effect later.
	 */
	record Undecided() implements RecordDecision {

	}

}
