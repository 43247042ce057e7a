package io.anvilusher.entry.dispatch;

import io.anvilusher.logic.admission.FairQueue;
import io.anvilusher.logic.retry.RetryBudget;

/**
 * The waiting calls of one service. Guarded by its own lock.
 */
final class ServiceLane {

	/** Retries allowed for each request. */
	private static final double RETRY_SHARE = 0.2;

	/** Retries allowed at once. */
	private static final double RETRY_BURST = 20;

	private final String service;

	private final FairQueue<DispatchedCall> queue = new FairQueue<>();

	private final RetryBudget budget = new RetryBudget(RETRY_SHARE, RETRY_BURST);

	ServiceLane(String service) {
		this.service = service;
	}

	String service() {
		return this.service;
	}

	FairQueue<DispatchedCall> queue() {
		return this.queue;
	}

	RetryBudget budget() {
		return this.budget;
	}

}
