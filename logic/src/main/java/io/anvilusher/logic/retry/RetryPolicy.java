package io.anvilusher.logic.retry;

import io.anvilusher.model.request.AttemptFailure;
import io.anvilusher.model.request.AttemptOutcome;
import io.anvilusher.model.request.RefusalReason;

/**
 * Decides whether a request is retried, queued again or refused after a failed attempt. A
 * request that may not be repeated is retried only if none of its attempts can have run.
 */
public final class RetryPolicy {

	private static final int MAX_ATTEMPTS = 4;

	/**
	 * Decides how a request continues after a failed attempt. Takes a retry from the
	 * budget if the decision is a retry.
	 * @param outcome outcome of the newest attempt; not {@link AttemptOutcome.Completed}
	 * @param progress state of the request, including the newest attempt
	 * @param budget retry budget of the service
	 * @return the decision
	 * @throws IllegalArgumentException if the attempt got a response
	 */
	public RetryDecision decide(AttemptOutcome outcome, RequestProgress progress, RetryBudget budget) {
		if (outcome instanceof AttemptOutcome.NotRun notRun) {
			return afterNotRun(notRun.reason(), progress, budget);
		}
		if (outcome instanceof AttemptOutcome.Unknown unknown) {
			return afterUnknown(unknown.reason(), progress, budget);
		}
		throw new IllegalArgumentException("no retry decision for an attempt that got a response: " + outcome);
	}

	private RetryDecision afterNotRun(AttemptFailure failure, RequestProgress progress, RetryBudget budget) {
		if (progress.remainingMs() <= 0) {
			return new RetryDecision.Refuse(
					progress.mayHaveRun() ? RefusalReason.DEADLINE_EXCEEDED : RefusalReason.QUEUE_TIMEOUT);
		}
		boolean requeue = failure == AttemptFailure.SERVER_FULL
				|| (failure == AttemptFailure.STARTED_TOO_LATE && progress.suspect());
		if (requeue) {
			return new RetryDecision.Requeue();
		}
		if (progress.attempts() >= MAX_ATTEMPTS || !budget.tryRetry()) {
			return new RetryDecision.Refuse(
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
		return new RetryDecision.Refuse(refusalReason(failure));
	}

	private static RefusalReason refusalReason(AttemptFailure failure) {
		return switch (failure) {
			case TIMED_OUT -> RefusalReason.DEADLINE_EXCEEDED;
			case ANSWER_CUT, FRAMES_BROKEN -> RefusalReason.ANSWER_CUT;
			default -> RefusalReason.SERVER_LOST;
		};
	}

}
