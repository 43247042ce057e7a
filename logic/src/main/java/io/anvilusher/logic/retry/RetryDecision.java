package io.anvilusher.logic.retry;

import io.anvilusher.model.request.RefusalReason;

/**
 * What to do with a request after a failed attempt.
 */
public sealed interface RetryDecision {

	/**
	 * Start another attempt on another server.
	 */
	record Retry() implements RetryDecision {

	}

	/**
	 * Put the request back into the queue until a server is free.
	 */
	record Requeue() implements RetryDecision {

	}

	/**
	 * Refuse the request.
	 *
	 * @param reason reason that is reported to the caller
	 */
	record Refuse(RefusalReason reason) implements RetryDecision {

	}

}
