package io.anvilusher.logic.retry;

/**
 * Limits retries to a share of the requests, so that a failing service is not hit harder
 * than a healthy one. Used from one thread or under a lock.
 */
public final class RetryBudget {

	private final double share;

	private final double maxTokens;

	private double tokens;

	/**
	 * Creates a full budget.
	 * @param share retries allowed for each request
	 * @param maxTokens retries allowed at once
	 */
	public RetryBudget(double share, double maxTokens) {
		this.share = share;
		this.maxTokens = maxTokens;
		this.tokens = maxTokens;
	}

	/**
	 * Notes a request.
	 */
	public void onRequest() {
		this.tokens = Math.min(this.maxTokens, this.tokens + this.share);
	}

	/**
	 * Takes a retry from the budget.
	 * @return whether there was one left
	 */
	public boolean tryRetry() {
		if (this.tokens < 1) {
			return false;
		}
		this.tokens--;
		return true;
	}

}
