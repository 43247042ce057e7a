package io.anvilusher.logic.retry;

import io.anvilusher.model.request.RefusalReason;

/**
 * What follows an attempt that failed.
 */
public sealed interface RetryDecision {

	/**
	 * Another attempt on another server.
	 */
	record Retry() implements RetryDecision {

	}

	/**
	 * Wait in the queue for a free server.
	 */
	record Requeue() implements RetryDecision {

	}

	/**
	 * The request ends.
	 *
	 * @param reason what its caller is told
	 */
	record GiveUp(RefusalReason reason) implements RetryDecision {

	}

}
