package io.anvilusher.entry.controller;

import java.util.OptionalLong;
import java.util.function.LongSupplier;

import io.anvilusher.logic.lease.LeaseAgent;

/**
 * The authority that comes with a lease. It can end at any moment, so it is asked for
 * again just before each act.
 */
final class Authority {

	private final String lease;

	private final LeaseAgent agent;

	private final LongSupplier clockMs;

	Authority(String lease, LeaseAgent agent, LongSupplier clockMs) {
		this.lease = lease;
		this.agent = agent;
		this.clockMs = clockMs;
	}

	/**
	 * Returns the lease.
	 * @return its name
	 */
	String lease() {
		return this.lease;
	}

	/**
	 * Returns the term for acts that the log checks.
	 * @return the term, or empty without authority
	 */
	OptionalLong term() {
		return this.agent.term(this.clockMs.getAsLong());
	}

	/**
	 * Returns the term for calls whose receiver may not check fencing tokens.
	 * @return the term, or empty without authority or too soon after a take-over
	 */
	OptionalLong unfencedTerm() {
		return this.agent.unfencedTerm(this.clockMs.getAsLong());
	}

}
