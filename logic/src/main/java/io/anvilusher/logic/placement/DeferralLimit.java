package io.anvilusher.logic.placement;

/**
 * Limits the deferred prompts that one gateway has at the engines of a service. Load
 * pattern: an overload that lasts. Deferred prompts then reach their deadline while they
 * wait, and they fill the queues of engines, which reject urgent requests too. No gateway
 * knows what the others have deferred, so the limit shrinks when a deferred prompt is not
 * served, and grows while they are served. Confined to one thread.
 */
final class DeferralLimit {

	/** Upper bound of the limit, in prompts; also the initial limit. */
	static final double MAX_PROMPTS = 16;

	/**
	 * Lower bound of the limit, in prompts, so that the end of an overload is noticed.
	 */
	static final double MIN_PROMPTS = 1;

	/** Factor by which the limit is multiplied when it shrinks. */
	static final double SHRINK_FACTOR = 0.5;

	/** Growth of the limit with each deferred prompt that was served, in prompts. */
	static final double GROWTH = 0.5;

	private double maxPrompts = MAX_PROMPTS;

	private int waiting;

	private long lastShrinkMs = Long.MIN_VALUE / 2;

	/**
	 * Returns whether another prompt may be deferred.
	 * @return whether fewer prompts than the limit are deferred
	 */
	boolean allows() {
		return this.waiting + 1 <= this.maxPrompts;
	}

	/**
	 * Records that a deferred prompt is being sent.
	 */
	void onSent() {
		this.waiting++;
	}

	/**
	 * Records that a deferred prompt no longer waits.
	 * @param served whether an engine prefilled it; false if it was rejected, reached its
	 * deadline or was given up
	 * @param targetMs target latency of the first event
	 * @param nowMs current time of the monotonic clock
	 */
	void onSettled(boolean served, long targetMs, long nowMs) {
		if (served) {
			this.maxPrompts = Math.min(MAX_PROMPTS, this.maxPrompts + GROWTH);
		}
		// Prompts that one full queue rejects shrink the limit only once.
		else if (nowMs - this.lastShrinkMs >= targetMs) {
			this.lastShrinkMs = nowMs;
			this.maxPrompts = Math.max(MIN_PROMPTS, SHRINK_FACTOR * Math.min(this.maxPrompts, this.waiting));
		}
		this.waiting = Math.max(0, this.waiting - 1);
	}

}
