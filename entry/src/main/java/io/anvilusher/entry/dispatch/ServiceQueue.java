package io.anvilusher.entry.dispatch;

import io.anvilusher.logic.admission.FairQueue;
import io.anvilusher.logic.retry.RetryBudget;

/**
 * The queued requests and the retry budget of one service. Guarded by its own lock.
 */
final class ServiceQueue {

	/** Retries that each request adds to the budget. */
	private static final double RETRIES_PER_REQUEST = 0.2;

	/** Upper limit of the budget, in retries. */
	private static final double MAX_RETRY_BURST = 20;

	private final String service;

	private final FairQueue<DispatchedRequest> requests = new FairQueue<>();

	private final RetryBudget retryBudget = new RetryBudget(RETRIES_PER_REQUEST, MAX_RETRY_BURST);

	ServiceQueue(String service) {
		this.service = service;
	}

	String service() {
		return this.service;
	}

	FairQueue<DispatchedRequest> requests() {
		return this.requests;
	}

	RetryBudget retryBudget() {
		return this.retryBudget;
	}

}
