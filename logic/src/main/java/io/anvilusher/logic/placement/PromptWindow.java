package io.anvilusher.logic.placement;

/**
 * Bounds the prompt tokens that one gateway keeps unread at one engine. The bound grows
 * while first events come well before their objective and shrinks when they come close to
 * it, so that many gateways that know nothing of each other share an engine without a
 * queue that makes all of their requests late. Load pattern: bursts of long prompts that
 * ask for several times what the engines can read.
 */
public final class PromptWindow {

	/** Tokens at start: one long document. Source: sizes of the brief's workloads. */
	static final double INITIAL_TOKENS = 10_000;

	/**
	 * Fewest tokens, so that a recovering engine is tried again. Source: a part of one
	 * document.
	 */
	static final double MIN_TOKENS = 1_500;

	/** Most tokens. Source: a second of reading by the fastest engine in use. */
	static final double MAX_TOKENS = 300_000;

	/** Part of the objective up to which the bound grows. */
	static final double GROW_BELOW = 0.45;

	/** Part of the objective from which the bound shrinks. */
	static final double SHRINK_ABOVE = 0.65;

	/** Factor of one reduction. */
	static final double SHRINK_FACTOR = 0.75;

	/** Share of the tokens of a request that was early by which the bound grows. */
	static final double GROW_SHARE = 0.25;

	private double limitTokens = INITIAL_TOKENS;

	private double pendingTokens;

	/**
	 * Part of the objective without any progress after which an engine is stalled.
	 */
	static final double STALLED_SHARE = 0.65;

	private long lastSentMs = Long.MIN_VALUE / 2;

	private int pendingPrompts;

	private long progressMs;

	private long lastShrinkMs = Long.MIN_VALUE / 2;

	/**
	 * Tells whether another prompt may be sent. A prompt larger than the bound is sent
	 * alone, and only as often as the bound allows on average over the objective.
	 * @param tokens tokens that the engine would have to read
	 * @param targetMs objective for the first event
	 * @param nowMs the time
	 * @return whether it may
	 */
	public boolean fits(double tokens, long targetMs, long nowMs) {
		if (isStalled(targetMs, nowMs)) {
			return false;
		}
		if (this.pendingTokens + tokens <= this.limitTokens) {
			return true;
		}
		return this.pendingTokens < 1 && nowMs - this.lastSentMs >= targetMs * tokens / this.limitTokens;
	}

	/**
	 * Tells whether prompts wait at the engine and none was read for a good part of the
	 * objective. All slots may be taken by long answers of other gateways' requests,
	 * which this gateway learns from no answer.
	 * @param targetMs objective for the first event
	 * @param nowMs the time
	 * @return whether it is stalled
	 */
	public boolean isStalled(long targetMs, long nowMs) {
		return this.pendingPrompts > 0 && nowMs - this.progressMs > STALLED_SHARE * targetMs;
	}

	/**
	 * Notes a prompt that is being sent.
	 * @param tokens tokens that the engine has to read
	 * @param nowMs the time
	 */
	public void onSent(double tokens, long nowMs) {
		this.lastSentMs = nowMs;
		this.pendingTokens += tokens;
		if (this.pendingPrompts++ == 0) {
			this.progressMs = nowMs;
		}
	}

	/**
	 * Notes that a prompt was read, or that its request ended without.
	 * @param tokens tokens as noted when it was sent
	 * @param nowMs the time
	 */
	public void onSettled(double tokens, long nowMs) {
		this.pendingTokens = Math.max(0, this.pendingTokens - tokens);
		this.pendingPrompts = Math.max(0, this.pendingPrompts - 1);
		this.progressMs = nowMs;
	}

	/**
	 * Adapts the bound to the time that a first event took.
	 * @param tokens tokens that the engine had to read
	 * @param elapsedMs time from sending to the first event
	 * @param targetMs objective for the first event
	 * @param nowMs the time
	 */
	public void onFirstEvent(double tokens, long elapsedMs, long targetMs, long nowMs) {
		if (elapsedMs < GROW_BELOW * targetMs) {
			this.limitTokens = Math.min(MAX_TOKENS, this.limitTokens + GROW_SHARE * tokens);
		}
		else if (elapsedMs > SHRINK_ABOVE * targetMs) {
			shrink(SHRINK_FACTOR, targetMs, nowMs);
		}
	}

	/**
	 * Reduces the bound after the engine rejected a request for lack of room.
	 * @param targetMs objective for the first event
	 * @param nowMs the time
	 */
	public void onRejected(long targetMs, long nowMs) {
		shrink(SHRINK_FACTOR, targetMs, nowMs);
	}

	private void shrink(double factor, long targetMs, long nowMs) {
		// One reduction for each batch of prompts that met the same queue.
		if (nowMs - this.lastShrinkMs < targetMs) {
			return;
		}
		this.lastShrinkMs = nowMs;
		this.limitTokens = Math.max(MIN_TOKENS, this.limitTokens * factor);
	}

	/**
	 * Returns the unread tokens.
	 * @return tokens sent and not yet read
	 */
	public double pendingTokens() {
		return this.pendingTokens;
	}

	/**
	 * Returns the bound.
	 * @return tokens
	 */
	public double limitTokens() {
		return this.limitTokens;
	}

}
