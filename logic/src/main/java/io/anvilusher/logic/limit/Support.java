package io.anvilusher.logic.limit;

/**
 * The registered gateways that support a keeper.
 *
 * @param supporters their number
 * @param settled number of those that all gateways know of
 * @param registered number of registered gateways
 */
record Support(int supporters, int settled, int registered) {

	/** Part of the limit that keepers without a majority issue together. */
	private static final double MINORITY_PART = 0.5;

	/**
	 * Returns the part of the limit at which the keeper issues permits. All keepers of a
	 * server together issue at most 1.25 times the limit.
	 * @return the part, 0 to 1
	 */
	double part() {
		if (2 * this.settled > this.registered || this.supporters >= this.registered) {
			return 1;
		}
		return MINORITY_PART * Math.min((double) this.supporters / this.registered, 0.5);
	}

}
