package io.anvilusher.logic.fold;

/**
 * A state after a record, and what became of the record.
 *
 * @param <S> type of the state
 * @param state the state
 * @param verdict what became of the record
 */
public record Folded<S>(S state, Verdict verdict) {

	static <S> Folded<S> accepted(S state) {
		return new Folded<>(state, Verdict.ACCEPTED);
	}

	static <S> Folded<S> refused(S state, Verdict verdict) {
		return new Folded<>(state, verdict);
	}

}
