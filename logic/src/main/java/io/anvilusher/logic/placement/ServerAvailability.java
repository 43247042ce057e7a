package io.anvilusher.logic.placement;

/**
 * What one incarnation of a server has announced in its responses about new requests.
 * Unlike {@link ServerHealth}, an announcement is binding: the server gets no new
 * requests even if there is no other one. Not safe for use by several threads.
 */
public final class ServerAvailability {

	/**
	 * Longest pause that a single response can ask for. It bounds the effect of a wrong
	 * value; a server that needs longer asks again.
	 */
	static final long MAX_PAUSE_MS = 60_000;

	private static final long NEVER_PAUSED = Long.MIN_VALUE / 2;

	private boolean leaving;

	private long pausedUntilMs = NEVER_PAUSED;

	/**
	 * Records that the server announced that it is leaving. This holds for the rest of
	 * its incarnation.
	 * @return whether it had not announced this before
	 */
	public boolean onLeaving() {
		boolean first = !this.leaving;
		this.leaving = true;
		return first;
	}

	/**
	 * Records that the server asked to get no requests for some time. A pause that is in
	 * effect is never shortened.
	 * @param pauseMs length of the pause in ms; at most {@link #MAX_PAUSE_MS} of it count
	 * @param nowMs current time of the monotonic clock
	 * @return whether a pause begins; false if one was in effect or the length is 0
	 */
	public boolean onPauseRequested(long pauseMs, long nowMs) {
		boolean begins = pauseMs > 0 && pauseLeftMs(nowMs) == 0;
		this.pausedUntilMs = Math.max(this.pausedUntilMs, nowMs + Math.min(pauseMs, MAX_PAUSE_MS));
		return begins;
	}

	/**
	 * Returns whether the server is leaving.
	 * @return whether it has announced this
	 */
	public boolean isLeaving() {
		return this.leaving;
	}

	/**
	 * Returns how much longer the server is to get no requests.
	 * @param nowMs current time of the monotonic clock
	 * @return the time in ms; 0 if no pause is in effect
	 */
	public long pauseLeftMs(long nowMs) {
		return Math.max(0, this.pausedUntilMs - nowMs);
	}

	/**
	 * Returns whether the server takes new requests.
	 * @param nowMs current time of the monotonic clock
	 * @return false if it is leaving or a pause is in effect
	 */
	public boolean isAccepting(long nowMs) {
		return !this.leaving && pauseLeftMs(nowMs) == 0;
	}

	/**
	 * Returns whether there is an announcement to remember.
	 * @return whether the server has ever announced that it is leaving or asked for a
	 * pause
	 */
	public boolean hasAnnouncement() {
		return this.leaving || this.pausedUntilMs != NEVER_PAUSED;
	}

}
