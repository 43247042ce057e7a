package io.anvilusher.logic.placement;

/**
 * Limits the prompt tokens that one gateway has sent to one engine and that the engine
 * has not prefilled yet. Like a congestion window, the limit grows while first events
 * arrive well within the target latency and shrinks when they come close to it. Gateways
 * that do not communicate with each other can thus share an engine without a queue that
 * makes all their requests miss the target, even in bursts of long prompts that need
 * several times the prefill capacity of the engines.
 */
public final class PromptWindow {

	/** Initial limit: the size of one long document in the expected workloads. */
	static final double INITIAL_TOKENS = 10_000;

	/**
	 * Lower bound of the limit, a part of one long document, so that a recovering engine
	 * still gets requests.
	 */
	static final double MIN_TOKENS = 1_500;

	/** Upper bound of the limit: one second of prefill on the fastest engine in use. */
	static final double MAX_TOKENS = 300_000;

	/** The limit grows if the first event took less than this share of the target. */
	static final double GROW_BELOW_SHARE = 0.45;

	/** The limit shrinks if the first event took more than this share of the target. */
	static final double SHRINK_ABOVE_SHARE = 0.65;

	/** Factor by which the limit is multiplied when it shrinks. */
	static final double SHRINK_FACTOR = 0.75;

	/** The limit grows by this share of the prompt tokens of an early request. */
	static final double GROW_SHARE = 0.25;

	private double limitTokens = INITIAL_TOKENS;

	private double pendingTokens;

	/**
	 * An engine is stalled if it has prefilled no pending prompt for this share of the
	 * target latency.
	 */
	static final double STALLED_SHARE = 0.65;

	private double lastOversizedTokens;

	private long lastOversizedSentMs = Long.MIN_VALUE / 2;

	private int pendingPrompts;

	private long lastProgressMs;

	private long lastShrinkMs = Long.MIN_VALUE / 2;

	/**
	 * Returns whether another prompt may be sent. A prompt larger than the limit is sent
	 * only while nothing else is pending, and such prompts only as often as the limit
	 * allows on average: one limit's worth of tokens per target latency. Smaller prompts
	 * do not postpone them, or else they would never be sent in a busy time.
	 * @param tokens tokens that the prompt counts for: those that the engine would have
	 * to prefill, or fewer for a large prompt, whose excess is then paid back by the time
	 * until the next one that does not fit
	 * @param targetMs target latency of the first event
	 * @param nowMs current time of the monotonic clock
	 * @return whether the prompt may be sent; false while the engine is stalled
	 */
	public boolean fits(double tokens, long targetMs, long nowMs) {
		if (isStalled(targetMs, nowMs)) {
			return false;
		}
		if (this.pendingTokens + tokens <= this.limitTokens) {
			return true;
		}
		double paidTokens = Math.max(tokens, this.lastOversizedTokens);
		return this.pendingTokens < 1 && nowMs - this.lastOversizedSentMs >= targetMs * paidTokens / this.limitTokens;
	}

	/**
	 * Returns whether prompts are pending at the engine and none was prefilled for most
	 * of the target latency. This happens when long responses to other gateways' requests
	 * occupy all slots: no response reports them to this gateway.
	 * @param targetMs target latency of the first event
	 * @param nowMs current time of the monotonic clock
	 * @return whether the engine is stalled
	 */
	public boolean isStalled(long targetMs, long nowMs) {
		return this.pendingPrompts > 0 && nowMs - this.lastProgressMs > STALLED_SHARE * targetMs;
	}

	/**
	 * Records that a prompt is being sent.
	 * @param tokens tokens that the engine has to prefill
	 * @param nowMs current time of the monotonic clock
	 */
	public void onSent(double tokens, long nowMs) {
		if (tokens > this.limitTokens) {
			this.lastOversizedSentMs = nowMs;
			this.lastOversizedTokens = tokens;
		}
		this.pendingTokens += tokens;
		if (this.pendingPrompts++ == 0) {
			this.lastProgressMs = nowMs;
		}
	}

	/**
	 * Records that a prompt is no longer pending, because it was prefilled or its request
	 * ended without a result.
	 * @param tokens the same number as in {@link #onSent}
	 * @param nowMs current time of the monotonic clock
	 */
	public void onSettled(double tokens, long nowMs) {
		this.pendingTokens = Math.max(0, this.pendingTokens - tokens);
		this.pendingPrompts = Math.max(0, this.pendingPrompts - 1);
		this.lastProgressMs = nowMs;
	}

	/**
	 * Records that responses could not be read for a while.
	 * @param delayMs duration of that time, which ends now
	 * @param nowMs current time of the monotonic clock
	 */
	public void onObserverDelay(long delayMs, long nowMs) {
		this.lastProgressMs = Math.min(nowMs, this.lastProgressMs + delayMs);
	}

	/**
	 * Adapts the limit to the latency of a first event.
	 * @param tokens tokens that the engine had to prefill
	 * @param elapsedMs time from sending the request to the first event
	 * @param targetMs target latency of the first event
	 * @param nowMs current time of the monotonic clock
	 */
	public void onFirstEvent(double tokens, long elapsedMs, long targetMs, long nowMs) {
		if (elapsedMs < GROW_BELOW_SHARE * targetMs) {
			this.limitTokens = Math.min(MAX_TOKENS, this.limitTokens + GROW_SHARE * tokens);
		}
		else if (elapsedMs > SHRINK_ABOVE_SHARE * targetMs) {
			shrink(SHRINK_FACTOR, targetMs, nowMs);
		}
	}

	/**
	 * Shrinks the limit after the engine rejected a request for lack of capacity.
	 * @param targetMs target latency of the first event
	 * @param nowMs current time of the monotonic clock
	 */
	public void onRejected(long targetMs, long nowMs) {
		shrink(SHRINK_FACTOR, targetMs, nowMs);
	}

	private void shrink(double factor, long targetMs, long nowMs) {
		// Prompts that were delayed by the same queue shrink the limit only once.
		if (nowMs - this.lastShrinkMs < targetMs) {
			return;
		}
		this.lastShrinkMs = nowMs;
		this.limitTokens = Math.max(MIN_TOKENS, this.limitTokens * factor);
	}

	/**
	 * Returns the prompt tokens that this gateway has pending at the engine.
	 * @return tokens sent and not yet prefilled
	 */
	public double pendingTokens() {
		return this.pendingTokens;
	}

	/**
	 * Returns the current limit of pending prompt tokens.
	 * @return number of tokens
	 */
	public double limitTokens() {
		return this.limitTokens;
	}

}
