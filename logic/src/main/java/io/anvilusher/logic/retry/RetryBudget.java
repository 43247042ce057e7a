package io.anvilusher.logic.retry;

/**
 * Token bucket that limits retries to a share of the requests, so that a failing service
 * does not get much more load than a healthy one. Not thread-safe: callers use it from
 * one thread or under a lock.
 */
public final class RetryBudget {

	private final double share;

	private final double maxTokens;

	private double tokens;

	/**
	 * Creates a full budget.
	 * @param share retries allowed per request
	 * @param maxTokens maximum number of saved retries
	 */
	public RetryBudget(double share, double maxTokens) {
		this.share = share;
		this.maxTokens = maxTokens;
		this.tokens = maxTokens;
	}

	/**
	 * Adds the share of one request to the budget. Called once per request, not for its
	 * retries.
	 */
	public void onRequest() {
		this.tokens = Math.min(this.maxTokens, this.tokens + this.share);
	}

	/**
	 * Takes one retry from the budget.
	 * @return whether the retry is allowed; false if the budget is used up
	 */
	public boolean tryRetry() {
		if (this.tokens < 1) {
			return false;
		}
		this.tokens--;
		return true;
	}

}
