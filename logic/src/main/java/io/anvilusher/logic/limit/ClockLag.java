package io.anvilusher.logic.limit;

/**
 * Smallest difference between the clock of this gateway at the receipt and that of
 * another one at the sending of a message, over the last one to two minutes.
 */
final class ClockLag {

	/** Clocks drift apart, so that a smallest difference is not valid forever. */
	private static final long WINDOW_MS = 60_000;

	private long smallestMs = Long.MAX_VALUE;

	private long formerSmallestMs = Long.MAX_VALUE;

	private long windowStartMs;

	ClockLag(long nowMs) {
		this.windowStartMs = nowMs;
	}

	/**
	 * Takes in a message.
	 * @param sentAtMs time of sending on the clock of the sender
	 * @param nowMs current time of the monotonic clock
	 * @return the time that it was under way longer than the fastest one, in ms
	 */
	long transitMs(long sentAtMs, long nowMs) {
		if (nowMs - this.windowStartMs > WINDOW_MS) {
			this.formerSmallestMs = this.smallestMs;
			this.smallestMs = Long.MAX_VALUE;
			this.windowStartMs = nowMs;
		}
		this.smallestMs = Math.min(this.smallestMs, nowMs - sentAtMs);
		return nowMs - sentAtMs - Math.min(this.smallestMs, this.formerSmallestMs);
	}

}
