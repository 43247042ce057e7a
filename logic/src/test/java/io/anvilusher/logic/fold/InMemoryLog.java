package io.anvilusher.logic.fold;

import io.anvilusher.model.fact.Fact;
import io.anvilusher.model.fact.LogRecord;
import io.anvilusher.model.fact.OffsetRecord;

/** A control log in memory that folds each record when it is appended. */
public final class InMemoryLog {

	private ControlState state = ControlState.EMPTY;

	public Verdict append(Fact fact) {
		return append("id-" + this.state.appliedOffset(), fact);
	}

	public Verdict append(String recordId, Fact fact) {
		FoldResult<ControlState> folded = this.state
			.apply(new OffsetRecord(this.state.appliedOffset() + 1, new LogRecord(recordId, "test", fact)));
		this.state = folded.state();
		return folded.verdict();
	}

	public ControlState state() {
		return this.state;
	}

	public long offset() {
		return this.state.appliedOffset();
	}

}
