package io.anvilusher.adapters.control;

import io.anvilusher.logic.fold.Verdict;

/**
 * What became of a record that this process appended.
 */
public sealed interface RecordDecision {

	/**
	 * Tells whether the record is known to have taken effect.
	 * @return whether it is
	 */
	default boolean isAccepted() {
		return this instanceof Decided decided && decided.verdict().isAccepted();
	}

	/**
	 * The record was read back, so that its place and effect are known for good.
	 *
	 * @param offset its place
	 * @param verdict its effect
	 */
	record Decided(long offset, Verdict verdict) implements RecordDecision {

	}

	/**
	 * The record was not read back in time. It may take effect later.
	 */
	record Undecided() implements RecordDecision {

	}

}
