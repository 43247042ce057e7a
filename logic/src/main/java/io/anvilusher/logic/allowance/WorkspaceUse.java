package io.anvilusher.logic.allowance;

/**
 * The use of a workspace at this gateway, and the ceiling that was granted last. Confined
 * to one thread.
 */
final class WorkspaceUse {

	private static final long MAX_EXHAUSTED_WAIT_MS = 160;

	private final SlidingUsage sent;

	private final SlidingUsage demand = new SlidingUsage(LocalAllowance.DEMAND_WINDOW_MS);

	private long pending;

	/** Use that was admitted above the ceiling and is not covered by a later one. */
	private long overdrawn;

	private long ceiling;

	private long reportedUse;

	private boolean demandReported;

	private long exhaustedUntilMs = Long.MIN_VALUE;

	private long exhaustedWaitMs;

	WorkspaceUse(long windowMs) {
		this.sent = new SlidingUsage(windowMs);
	}

	long counted(long nowMs) {
		return this.pending + this.sent.total(nowMs);
	}

	long demand(long nowMs) {
		return this.demand.total(nowMs);
	}

	long ceiling() {
		return this.ceiling;
	}

	/**
	 * Counts the cost of a request if it fits.
	 * @param cost the cost
	 * @param line use that may count without overdraft
	 * @param overdraft use that may be admitted above the line
	 * @param nowMs current time of the monotonic clock
	 * @return whether the cost was counted
	 */
	boolean tryAdd(long cost, long line, long overdraft, long nowMs) {
		this.demand.add(cost, nowMs);
		long counted = counted(nowMs);
		this.overdrawn = Math.min(this.overdrawn, Math.max(0, counted - line));
		long above = Math.max(0, cost - Math.max(0, line - counted));
		if (above > 0 && this.overdrawn + above > overdraft) {
			return false;
		}
		this.overdrawn += above;
		this.pending += cost;
		return true;
	}

	/**
	 * Returns the time until a refused request fits because earlier use leaves the
	 * window.
	 * @param cost cost of the request
	 * @param line use that may count without overdraft
	 * @param nowMs current time of the monotonic clock
	 * @return the time in ms; 0 if it depends on the use of other gateways
	 */
	long timeToRoomMs(long cost, long line, long nowMs) {
		long needed = counted(nowMs) + cost - line;
		return (needed > 0 && needed <= this.sent.total(nowMs)) ? this.sent.timeToFreeMs(needed, nowMs) : 0;
	}

	void moveToSent(AllowanceCharge charge, long nowMs) {
		takeOut(charge, nowMs);
		this.sent.add(charge.cost(), nowMs);
	}

	/**
	 * Stops counting a charge, in whichever state it is.
	 * @param charge the charge
	 * @param nowMs current time of the monotonic clock
	 */
	void takeOut(AllowanceCharge charge, long nowMs) {
		switch (charge.state()) {
			case PENDING -> {
				this.pending -= charge.cost();
			}
			case SENT -> this.sent.remove(charge.cost(), charge.sentMs(), nowMs);
			case UNLIMITED, RETURNED -> {
			}
		}
	}

	/**
	 * Sets the ceiling. Each further one without room doubles the time until the next
	 * urgent report, so that an exhausted workspace does not cause a message per request.
	 * @param newCeiling the ceiling
	 * @param nowMs current time of the monotonic clock
	 */
	void grant(long newCeiling, long nowMs) {
		if (newCeiling > counted(nowMs)) {
			this.exhaustedWaitMs = 0;
		}
		else {
			this.exhaustedWaitMs = Math.min(MAX_EXHAUSTED_WAIT_MS,
					Math.max(LocalAllowance.URGENT_INTERVAL_MS, 2 * this.exhaustedWaitMs));
			this.exhaustedUntilMs = nowMs + this.exhaustedWaitMs;
		}
		this.ceiling = newCeiling;
	}

	/**
	 * Returns whether the allocator should learn of the use before the next regular
	 * report.
	 * @param line use that may count without overdraft
	 * @param nowMs current time of the monotonic clock
	 * @return whether half of what was left at the last report is used
	 */
	boolean isUrgent(long line, long nowMs) {
		boolean newDemand = !this.demandReported && demand(nowMs) > 0;
		boolean halfUsed = 2 * (counted(nowMs) - this.reportedUse) > line - this.reportedUse;
		return (newDemand || (halfUsed && demand(nowMs) > 0)) && nowMs >= this.exhaustedUntilMs;
	}

	ReportedUse report(String workspace, long line, long nowMs) {
		this.reportedUse = counted(nowMs);
		this.demandReported = demand(nowMs) > 0;
		return new ReportedUse(workspace, this.reportedUse, demand(nowMs), line);
	}

}
