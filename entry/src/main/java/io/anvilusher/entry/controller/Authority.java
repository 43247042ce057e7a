package io.anvilusher.entry.controller;

import java.util.OptionalLong;
import java.util.function.LongSupplier;

import io.anvilusher.logic.lease.LeaseAgent;

/**
 * The authority that comes with holding a lease. It can end at any moment, so controllers
 * check it again immediately before each action.
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
	 * Returns the name of the lease.
	 * @return the name
	 */
	String lease() {
		return this.lease;
	}

	/**
	 * Returns the term to write into log records, where it is checked on folding.
	 * @return the term, or empty if the lease is not held
	 */
	OptionalLong term() {
		return this.agent.term(this.clockMs.getAsLong());
	}

	/**
	 * Returns the term for calls to receivers that may not check fencing tokens.
	 * @return the term, or empty if the lease is not held or was acquired less than the
	 * lease margin ago
	 */
	OptionalLong unfencedTerm() {
		return this.agent.unfencedTerm(this.clockMs.getAsLong());
	}

}
