package io.anvilusher.logic.fold;

/**
 * The result of folding a record: the state after it and the verdict on the record.
 *
 * @param <S> type of the state
 * @param state the state after the record; a refused record changes nothing but the
 * applied offset
 * @param verdict whether the record took effect, and if not, why
 */
public record FoldResult<S>(S state, Verdict verdict) {

	static <S> FoldResult<S> accepted(S state) {
		return new FoldResult<>(state, Verdict.ACCEPTED);
	}

	static <S> FoldResult<S> refused(S state, Verdict verdict) {
		return new FoldResult<>(state, verdict);
	}

}
