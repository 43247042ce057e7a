package io.anvilusher.logic.allowance;

/**
 * The cost of one admitted request. {@link LocalAllowance} changes its state; a charge is
 * returned at most once. Confined to one thread.
 */
public final class AllowanceCharge {

	private final String workspace;

	private final long cost;

	private State state;

	private long sentMs;

	AllowanceCharge(String workspace, long cost, State state) {
		this.workspace = workspace;
		this.cost = cost;
		this.state = state;
	}

	/**
	 * Returns the workspace of the request.
	 * @return the name of the workspace
	 */
	public String workspace() {
		return this.workspace;
	}

	/**
	 * Returns the cost of the request.
	 * @return the cost in the unit of the limit
	 */
	public long cost() {
		return this.cost;
	}

	State state() {
		return this.state;
	}

	long sentMs() {
		return this.sentMs;
	}

	void moveTo(State newState, long nowMs) {
		this.state = newState;
		this.sentMs = nowMs;
	}

	/**
	 * The states of a charge.
	 */
	enum State {

		/** The workspace has no limit, so nothing is counted. */
		UNLIMITED,

		/** The request was admitted and has not been sent to a server. */
		PENDING,

		/** The request was sent to a server. */
		SENT,

		/** The cost was returned. */
		RETURNED

	}

}
