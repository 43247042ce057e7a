package io.anvilusher.logic.allowance;

/**
 * What a gateway uses and may use of one workspace, as an allocator knows it. Amounts are
 * in the unit of the limit.
 *
 * @param use use in the gateway's last report
 * @param demand demand in the gateway's last report
 * @param committed use that the gateway may have or reach
 * @param brought part of the limit that the gateway adds to the allocator's pool; empty
 * (negative) if it is an equal share
 */
record Holding(long use, long demand, long committed, long brought) {

	/** Marks that a gateway brings an equal share of the limit. */
	static final long EQUAL_SHARE = -1;

	/** Keeps small demands apart in whole numbers. */
	private static final double WEIGHT_SCALE = 1e6;

	/** A gateway without use. */
	static final Holding NONE = new Holding(0, 0, 0, EQUAL_SHARE);

	/**
	 * Returns the weight with which unused parts of the limit are granted. The square
	 * root lets a gateway to which traffic has just moved catch up, and a grant change
	 * little when the demand of two gateways is reported at different times.
	 * @return the weight; 0 without demand
	 */
	long weight() {
		return (long) Math.sqrt(this.demand * WEIGHT_SCALE);
	}

	long broughtOr(long share) {
		return (this.brought == EQUAL_SHARE) ? share : this.brought;
	}

}
