package io.anvilusher.logic.limit;

/**
 * Determines how many permits of a server this gateway can use soon.
 */
final class PermitDemand {

	/** Time after which a request that lacked a permit is no longer expected to wait. */
	private static final long WANTED_MS = 150;

	/** Part of the permits used in the last second that is held in stock. */
	private static final double STOCK_PART = 0.25;

	private final RecentCount used = new RecentCount();

	private int lacking;

	private long lastWantedMs = Long.MIN_VALUE / 2;

	void onWanted(long nowMs) {
		if (nowMs - this.lastWantedMs > WANTED_MS) {
			this.lacking = 0;
		}
		this.lacking++;
		this.lastWantedMs = nowMs;
	}

	void onUsed(long nowMs) {
		this.used.add(nowMs);
	}

	/**
	 * Takes in that a wish was met. Requests that still wait are counted again.
	 * @param wished number of permits that were wished
	 * @param granted number of permits that were granted
	 */
	void onGranted(int wished, int granted) {
		this.lacking = Math.min(this.lacking, Math.max(0, wished - granted));
	}

	/**
	 * Returns the number of permits that this gateway should hold. It grows with the
	 * permits that are used, so that few expire if requests go to other servers.
	 * @param nowMs current time of the monotonic clock
	 * @return the number of permits
	 */
	int permits(long nowMs) {
		int usedLately = this.used.count(nowMs);
		int wanted = (nowMs - this.lastWantedMs <= WANTED_MS) ? this.lacking : 0;
		return Math.min(wanted, 1 + usedLately) + (int) (usedLately * STOCK_PART);
	}

}
