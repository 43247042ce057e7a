package io.anvilusher.logic.placement;

/**
 * What answers tell about a server's condition. Load pattern: servers that fail part of
 * their requests, answer slowly or fall silent while their health check is good.
 */
public final class ServerHealth {

	/** Weight of the newest outcome in the failure rate. */
	static final double NEWEST_WEIGHT = 0.1;

	/** Weight of the newest answer in the mean answer time. */
	static final double NEWEST_ANSWER_WEIGHT = 0.15;

	/**
	 * First pause after a broken connection, in ms. Source: a server restarts in seconds.
	 */
	static final long FIRST_PAUSE_MS = 200;

	/** Longest pause, in ms. Source: three heartbeats of a server. */
	static final long MAX_PAUSE_MS = 3_000;

	/** Silence that makes a server doubtful, in multiples of its mean answer time. */
	static final double SILENT_ANSWER_TIMES = 8;

	/** Least silence that makes a server doubtful, in ms. */
	static final long MIN_SILENCE_MS = 400;

	private double failureRate;

	private double meanAnswerMs;

	private int brokenInARow;

	private long pausedUntilMs = Long.MIN_VALUE / 2;

	private int pending;

	private long pendingSinceMs;

	private long lastHeardMs = Long.MIN_VALUE / 2;

	/**
	 * Notes a request that is being sent.
	 * @param nowMs the time
	 */
	public void onSent(long nowMs) {
		if (this.pending++ == 0) {
			this.pendingSinceMs = nowMs;
		}
	}

	/**
	 * Notes bytes from the server.
	 * @param nowMs the time
	 */
	public void onHeard(long nowMs) {
		this.lastHeardMs = nowMs;
		this.brokenInARow = 0;
	}

	/**
	 * Notes the end of a request.
	 */
	public void onEnded() {
		this.pending = Math.max(0, this.pending - 1);
	}

	/**
	 * Notes a whole answer, or the beginning of a stream.
	 * @param elapsedMs time from sending to the answer
	 */
	public void onAnswered(long elapsedMs) {
		this.failureRate *= 1 - NEWEST_WEIGHT;
		this.meanAnswerMs = (this.meanAnswerMs == 0) ? elapsedMs
				: this.meanAnswerMs + NEWEST_ANSWER_WEIGHT * (elapsedMs - this.meanAnswerMs);
	}

	/**
	 * Notes an answer that reports a failure of the server.
	 */
	public void onFailed() {
		this.failureRate += NEWEST_WEIGHT * (1 - this.failureRate);
	}

	/**
	 * Notes a connection that could not be opened or broke off.
	 * @param nowMs the time
	 */
	public void onBroken(long nowMs) {
		onFailed();
		long pauseMs = Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS << Math.min(this.brokenInARow, 10));
		this.brokenInARow++;
		this.pausedUntilMs = nowMs + pauseMs;
	}

	/**
	 * Tells whether new requests should go elsewhere if they can.
	 * @param nowMs the time
	 * @return whether the server is paused after a failure, or silent
	 */
	public boolean isDoubtful(long nowMs) {
		return nowMs < this.pausedUntilMs || isSilent(nowMs);
	}

	private boolean isSilent(long nowMs) {
		if (this.pending == 0) {
			return false;
		}
		long silentMs = nowMs - Math.max(this.lastHeardMs, this.pendingSinceMs);
		return silentMs > Math.max(MIN_SILENCE_MS, SILENT_ANSWER_TIMES * this.meanAnswerMs);
	}

	/**
	 * Returns the share of requests that failed lately.
	 * @return from 0 to 1
	 */
	public double failureRate() {
		return this.failureRate;
	}

	/**
	 * Returns the mean answer time.
	 * @return milliseconds; 0 before the first answer
	 */
	public double meanAnswerMs() {
		return this.meanAnswerMs;
	}

}
