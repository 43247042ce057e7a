package io.anvilusher.logic.placement;

import io.anvilusher.logic.routing.Rendezvous;

/**
 * Share of the long prompts that the engines of one role can prefill in time, as seen by
 * one gateway. Load pattern: a burst of long prompts at many gateways. Each gateway sends
 * an engine only about one prompt a second, so a limit for each engine is too coarse and
 * learns too slowly. Prompts spread evenly over the engines of a role, so the latencies
 * of all of them together show within a few responses that the role is overloaded. The
 * share then shrinks, and the other prompts go to engines of the other role or are
 * deferred, so that those in the share are served in time and the others late, in place
 * of all late. Confined to one thread.
 */
final class AdmissionShare {

	/** The share grows if a prompt took less than this share of the target. */
	static final double GROW_BELOW_SHARE = 0.45;

	/** The share shrinks if a prompt took more than this share of the target. */
	static final double SHRINK_ABOVE_SHARE = 0.65;

	/** Factor by which the share is multiplied when it shrinks. */
	static final double SHRINK_FACTOR = 0.6;

	/** Growth of the share with each early prompt. */
	static final double GROWTH = 0.15;

	/** Lower bound of the share, so that the end of an overload is noticed. */
	static final double MIN_SHARE = 0.1;

	private double share = 1;

	private long lastShrinkMs = Long.MIN_VALUE / 2;

	/**
	 * Returns whether a prompt belongs to the share. The result for one prompt changes
	 * only with the share, so that a queued prompt gets no second draw.
	 * @param promptId identifier that differs between prompts
	 * @param role name of the role
	 * @return whether an engine of the role can be expected to prefill it in time
	 */
	boolean admits(String promptId, String role) {
		return this.share >= 1 || Rendezvous.uniform(role, promptId) < this.share;
	}

	/**
	 * Adapts the share to the time that an engine of the role took for a prompt of the
	 * share.
	 * @param elapsedMs time from sending the prompt until its result
	 * @param targetMs target latency of the first event
	 * @param nowMs current time of the monotonic clock
	 */
	void onResult(long elapsedMs, long targetMs, long nowMs) {
		if (elapsedMs < GROW_BELOW_SHARE * targetMs) {
			this.share = Math.min(1, this.share + GROWTH);
		}
		// Prompts that were delayed by the same queue shrink the share only once.
		else if (elapsedMs > SHRINK_ABOVE_SHARE * targetMs && nowMs - this.lastShrinkMs >= targetMs) {
			this.lastShrinkMs = nowMs;
			this.share = Math.max(MIN_SHARE, SHRINK_FACTOR * this.share);
		}
	}

}
