package io.anvilusher.logic.limit;

/**
 * A gateway that asks this keeper. The age of its wishes is determined from the clock of
 * the gateway, so that wishes that were delayed do not count as support.
 */
final class WishSender {

	private final long run;

	private final long formerRun;

	private long newestSequence = Long.MIN_VALUE;

	private long lastHeardMs;

	private final ClockLag lag;

	/** Time at which the newest wish was sent, on the clock of this keeper. */
	private long sentMs;

	private long supportsUntilMs = Long.MIN_VALUE;

	private long lastTurn;

	private WishSender(long run, long formerRun, long lastTurn, long nowMs) {
		this.run = run;
		this.formerRun = formerRun;
		this.lastTurn = lastTurn;
		this.lag = new ClockLag(nowMs);
	}

	/**
	 * Returns a sender that has not been heard of. Before its first turn it ranks by its
	 * name and not by its first wish, since the longest waiting requests may end before
	 * they get a permit.
	 * @param gateway name of the gateway
	 * @param run run of its process
	 * @param nowMs current time of the monotonic clock
	 * @return the sender
	 */
	static WishSender first(String gateway, long run, long nowMs) {
		return new WishSender(run, 0, Math.min(-1L, -(long) (gateway.hashCode() & Integer.MAX_VALUE)), nowMs);
	}

	/**
	 * Returns the sender after a restart of the gateway.
	 * @param newRun the new run of its process
	 * @param nowMs current time of the monotonic clock
	 * @return the sender, which supports the keeper only after its next wish
	 */
	WishSender restarted(long newRun, long nowMs) {
		return new WishSender(newRun, this.run, this.lastTurn, nowMs);
	}

	/**
	 * Returns the last turn in which the gateway got permits.
	 * @return the number of the turn; negative if there was none
	 */
	long lastTurn() {
		return this.lastTurn;
	}

	void onTurn(long turn) {
		this.lastTurn = turn;
	}

	long run() {
		return this.run;
	}

	boolean isFormerRun(long otherRun) {
		return this.formerRun == otherRun;
	}

	long lastHeardMs() {
		return this.lastHeardMs;
	}

	boolean supports(long nowMs) {
		return nowMs < this.supportsUntilMs;
	}

	/**
	 * Takes in a wish.
	 * @param sequence time of sending on the clock of the gateway, in ms
	 * @param nowMs current time of the monotonic clock
	 * @return whether it is newer than all wishes before
	 */
	boolean receive(long sequence, long nowMs) {
		if (sequence <= this.newestSequence) {
			return false;
		}
		this.newestSequence = sequence;
		this.lastHeardMs = nowMs;
		this.sentMs = nowMs - this.lag.transitMs(sequence, nowMs);
		this.supportsUntilMs = Math.max(this.supportsUntilMs, this.sentMs + PermitKeeper.COUNTED_SUPPORT_MS);
		return true;
	}

	/**
	 * Returns when the newest wish was sent.
	 * @return the time on the clock of this keeper, later by the smallest delay
	 */
	long sentMs() {
		return this.sentMs;
	}

}
