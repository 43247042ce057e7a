package io.anvilusher.logic.limit;

/**
 * Permits that may be issued now. It starts empty and can be in debt.
 */
final class TokenBucket {

	/** Longest time by which a debt delays the next permit, in s. */
	private static final double MAX_DEBT_S = 4;

	private final double burstS;

	private final int minBurst;

	private double tokens;

	private double ratePerS;

	private long filledMs;

	/**
	 * Creates an empty bucket.
	 * @param burstS time over which permits are saved up, in s
	 * @param minBurst number of permits that are saved up whatever the rate
	 * @param nowMs current time of the monotonic clock
	 */
	TokenBucket(double burstS, int minBurst, long nowMs) {
		this.burstS = burstS;
		this.minBurst = minBurst;
		this.filledMs = nowMs;
	}

	/**
	 * Adds the permits that have accrued. After a rise of the rate, the lower one counts
	 * for the time before.
	 * @param newRatePerS rate in permits per second from now on
	 * @param nowMs current time of the monotonic clock
	 */
	void fill(double newRatePerS, long nowMs) {
		double accrued = Math.min(this.ratePerS, newRatePerS) * Math.max(0, nowMs - this.filledMs) / 1_000;
		this.ratePerS = newRatePerS;
		this.filledMs = Math.max(this.filledMs, nowMs);
		this.tokens = Math.min(this.tokens + accrued, Math.max(this.minBurst, newRatePerS * this.burstS));
	}

	/** Saves up as many permits as possible. */
	void top() {
		this.tokens = Math.max(this.minBurst, this.ratePerS * this.burstS);
	}

	/** Removes the permits that were saved up. */
	void drain() {
		this.tokens = Math.min(0, this.tokens);
	}

	int whole() {
		return (int) Math.max(0, Math.floor(this.tokens));
	}

	void take(int permits) {
		this.tokens -= permits;
	}

	/**
	 * Deducts requests that were sent without a permit.
	 * @param requests number of requests
	 * @param limitPerS limit of the server in requests per second
	 */
	void charge(int requests, double limitPerS) {
		this.tokens = Math.max(this.tokens - requests, Math.min(this.tokens, -MAX_DEBT_S * limitPerS));
	}

	/**
	 * Estimates the time until a number of permits have been issued.
	 * @param permits number of permits
	 * @return the time in ms; {@link Long#MAX_VALUE} if none is issued
	 */
	long timeUntilMs(int permits) {
		double missing = Math.max(0, permits - this.tokens);
		return (missing == 0) ? 0 : (long) Math.ceil(missing * 1_000 / this.ratePerS);
	}

}
