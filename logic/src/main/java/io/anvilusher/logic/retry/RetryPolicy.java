package io.anvilusher.logic.retry;

import io.anvilusher.model.request.AttemptFailure;
import io.anvilusher.model.request.AttemptOutcome;
import io.anvilusher.model.request.RefusalReason;

/**
 * Decides what follows an attempt that failed. A call that may not be repeated is tried
 * again only if no attempt before can have run.
 */
public final class RetryPolicy {

	private static final int MAX_ATTEMPTS = 4;

	/**
	 * Decides.
	 * @param outcome how the newest attempt ended
	 * @param progress how far the request has come, the newest attempt included
	 * @param budget retries that the service may still have
	 * @return what follows
	 */
	public RetryDecision decide(AttemptOutcome outcome, RequestProgress progress, RetryBudget budget) {
		if (outcome instanceof AttemptOutcome.NotRun notRun) {
			return afterNotRun(notRun.reason(), progress, budget);
		}
		if (outcome instanceof AttemptOutcome.Unknown unknown) {
			return afterUnknown(unknown.reason(), progress, budget);
		}
		throw new IllegalArgumentException("An answered attempt needs no retry");
	}

	private RetryDecision afterNotRun(AttemptFailure failure, RequestProgress progress, RetryBudget budget) {
		if (progress.remainingMs() <= 0) {
			return new RetryDecision.GiveUp(
					progress.mayHaveRun() ? RefusalReason.DEADLINE_EXCEEDED : RefusalReason.QUEUE_TIMEOUT);
		}
		boolean waits = failure == AttemptFailure.SERVER_FULL
				|| (failure == AttemptFailure.STARTED_TOO_LATE && progress.suspect());
		if (waits) {
			return new RetryDecision.Requeue();
		}
		if (progress.attempts() >= MAX_ATTEMPTS || !budget.tryRetry()) {
			return new RetryDecision.GiveUp(
					progress.mayHaveRun() ? RefusalReason.SERVER_LOST : RefusalReason.NO_SERVER);
		}
		return new RetryDecision.Retry();
	}

	private RetryDecision afterUnknown(AttemptFailure failure, RequestProgress progress, RetryBudget budget) {
		boolean mayRepeat = progress.repeatable() && !progress.committed() && progress.attempts() < MAX_ATTEMPTS
				&& progress.remainingMs() > 0;
		if (mayRepeat && budget.tryRetry()) {
			return new RetryDecision.Retry();
		}
		return new RetryDecision.GiveUp(reasonOf(failure));
	}

	private static RefusalReason reasonOf(AttemptFailure failure) {
		return switch (failure) {
			case TIMED_OUT -> RefusalReason.DEADLINE_EXCEEDED;
			case ANSWER_CUT, FRAMES_BROKEN -> RefusalReason.ANSWER_CUT;
			default -> RefusalReason.SERVER_LOST;
		};
	}

}
