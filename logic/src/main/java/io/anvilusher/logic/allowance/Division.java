package io.anvilusher.logic.allowance;

/**
 * How much of a limit the members of an allocator's group may use, and what they use and
 * may use. Amounts are in the unit of the limit.
 *
 * @param capacity the limit in a window
 * @param pool part of the limit that the group may use
 * @param members number of members
 * @param used sum of the use of all members
 * @param weight sum of the weights of all members
 * @param committed sum of what each member may have or reach
 */
record Division(long capacity, long pool, int members, long used, long weight, long committed) {

	/**
	 * Part of the unused pool that is granted to members in equal parts, so that a
	 * request at a member without use need not wait for a grant.
	 */
	private static final double EQUAL_PART = 0.4;

	/**
	 * Part of the unused pool that is granted to members by their demand. The rest is
	 * kept for members whose demand rises.
	 */
	private static final double DEMAND_PART = 0.5;

	/**
	 * Unused part of a ceiling, in times of the demand: 1 s of it. What a killed gateway
	 * could have used is not granted to others for a window, so it is kept small.
	 */
	private static final double HEADROOM_DEMANDS = 4;

	/**
	 * Least unused part of a ceiling of a member with demand, as part of the limit. At
	 * ten times the rate it lasts for two round trips.
	 */
	private static final double MIN_HEADROOM = 0.03;

	/**
	 * Part of the limit that all members together may hold above their targets while
	 * another one is short of it. Smaller differences are not worth a message.
	 */
	private static final double TOLERANCE = 0.02;

	Division replace(Holding before, Holding after) {
		return new Division(this.capacity, this.pool, this.members, this.used - before.use() + after.use(),
				this.weight - before.weight() + after.weight(),
				this.committed - before.committed() + after.committed());
	}

	/**
	 * Returns the ceiling that a member should have.
	 * @param holding what the member uses and may use
	 * @return the ceiling
	 */
	long target(Holding holding) {
		double unused = Math.max(0, this.pool - this.used);
		double byDemand = (this.weight > 0) ? (double) holding.weight() / this.weight : 0;
		double needed = Math.max(MIN_HEADROOM * this.capacity, HEADROOM_DEMANDS * holding.demand());
		return holding.use()
				+ (long) (unused * EQUAL_PART / this.members + Math.min(unused * DEMAND_PART * byDemand, needed));
	}

	/**
	 * Returns the ceiling that a member can get now. What other members may reach is not
	 * available until they have echoed a lower ceiling.
	 * @param holding what the member uses and may use
	 * @return the ceiling
	 */
	long ceiling(Holding holding) {
		long available = this.pool - (this.committed - holding.committed());
		return Math.max(0, Math.min(target(holding), available));
	}

	boolean isShort(Holding holding) {
		return holding.demand() > 0 && ceiling(holding) < target(holding) - tolerance();
	}

	boolean hasSurplus(Holding holding) {
		return holding.committed() > target(holding) + tolerance();
	}

	long tolerance() {
		return (long) (this.capacity * TOLERANCE / this.members);
	}

}
