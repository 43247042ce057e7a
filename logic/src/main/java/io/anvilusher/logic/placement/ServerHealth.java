package io.anvilusher.logic.placement;

/**
 * Passive health check of one server, based on the outcome of real requests. It detects
 * servers that fail part of their requests, respond slowly or stop responding while their
 * own health check still passes.
 */
public final class ServerHealth {

	/** Weight of the newest outcome in the moving average of the failure rate. */
	static final double FAILURE_RATE_WEIGHT = 0.1;

	/** Weight of the newest response in the moving average of the response time. */
	static final double RESPONSE_TIME_WEIGHT = 0.15;

	/**
	 * Backoff after the first connection failure. It doubles with each consecutive
	 * failure, since a server takes seconds to restart.
	 */
	static final long INITIAL_BACKOFF_MS = 200;

	/** Longest backoff: three heartbeat intervals of a server. */
	static final long MAX_BACKOFF_MS = 3_000;

	/**
	 * A server with requests in progress is unhealthy once it has sent nothing for this
	 * many mean response times.
	 */
	static final double SILENCE_RESPONSE_TIMES = 8;

	/** Shortest time without data after which a server counts as unhealthy. */
	static final long MIN_SILENCE_MS = 400;

	private double failureRate;

	private double meanResponseMs;

	private int consecutiveConnectionFailures;

	private long backoffUntilMs = Long.MIN_VALUE / 2;

	private int pending;

	private long pendingSinceMs;

	private long lastSeenMs = Long.MIN_VALUE / 2;

	/**
	 * Records that a request is being sent to the server.
	 * @param nowMs current time of the monotonic clock
	 */
	public void onSent(long nowMs) {
		if (this.pending++ == 0) {
			this.pendingSinceMs = nowMs;
		}
	}

	/**
	 * Records that the server sent data, which resets the connection backoff.
	 * @param nowMs current time of the monotonic clock
	 */
	public void onDataReceived(long nowMs) {
		this.lastSeenMs = nowMs;
		this.consecutiveConnectionFailures = 0;
	}

	/**
	 * Records that responses could not be read for a while.
	 * @param delayMs duration of that time, which ends now
	 * @param nowMs current time of the monotonic clock
	 */
	public void onObserverDelay(long delayMs, long nowMs) {
		this.pendingSinceMs = Math.min(nowMs, this.pendingSinceMs + delayMs);
		this.lastSeenMs = Math.min(nowMs, this.lastSeenMs + delayMs);
	}

	/**
	 * Records that a request is no longer in progress, whatever its outcome.
	 */
	public void onEnded() {
		this.pending = Math.max(0, this.pending - 1);
	}

	/**
	 * Records a complete response or the first event of a stream.
	 * @param elapsedMs time from sending the request to the response or first event
	 */
	public void onResponse(long elapsedMs) {
		this.failureRate *= 1 - FAILURE_RATE_WEIGHT;
		this.meanResponseMs = (this.meanResponseMs == 0) ? elapsedMs
				: this.meanResponseMs + RESPONSE_TIME_WEIGHT * (elapsedMs - this.meanResponseMs);
	}

	/**
	 * Records a response that reports a server error.
	 */
	public void onFailed() {
		this.failureRate += FAILURE_RATE_WEIGHT * (1 - this.failureRate);
	}

	/**
	 * Records a failed connection and starts or lengthens the backoff. Also called for an
	 * invalid response and when another server responds at the address.
	 * @param nowMs current time of the monotonic clock
	 */
	public void onConnectionFailure(long nowMs) {
		onFailed();
		long backoffMs = Math.min(MAX_BACKOFF_MS,
				INITIAL_BACKOFF_MS << Math.min(this.consecutiveConnectionFailures, 10));
		this.consecutiveConnectionFailures++;
		this.backoffUntilMs = nowMs + backoffMs;
	}

	/**
	 * Returns whether new requests should prefer other servers.
	 * @param nowMs current time of the monotonic clock
	 * @return whether the server is in backoff after a connection failure, or has sent
	 * nothing for too long while requests are in progress
	 */
	public boolean isUnhealthy(long nowMs) {
		return nowMs < this.backoffUntilMs || isUnresponsive(nowMs);
	}

	/**
	 * Returns whether the server is silent.
	 * @param nowMs current time of the monotonic clock
	 * @return whether it has sent nothing for too long while requests are in progress
	 */
	public boolean isUnresponsive(long nowMs) {
		if (this.pending == 0) {
			return false;
		}
		long silentMs = nowMs - Math.max(this.lastSeenMs, this.pendingSinceMs);
		return silentMs > Math.max(MIN_SILENCE_MS, SILENCE_RESPONSE_TIMES * this.meanResponseMs);
	}

	/**
	 * Returns the moving average of the failure rate.
	 * @return a share of requests from 0 to 1
	 */
	public double failureRate() {
		return this.failureRate;
	}

	/**
	 * Returns the moving average of the response time.
	 * @return milliseconds; 0 before the first response
	 */
	public double meanResponseMs() {
		return this.meanResponseMs;
	}

}
