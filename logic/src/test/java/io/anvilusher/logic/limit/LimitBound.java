package io.anvilusher.logic.limit;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;

/**
 * Checks that a server gets in any 4 s at most one and a half times what its limit
 * allows, and 5 requests.
 */
final class LimitBound {

	/** Time after the first naming from which the bound holds. */
	static final long CONTACT_MS = 3_000;

	static final long WINDOW_MS = 4_000;

	private static final double FACTOR = 1.5;

	private static final int EXTRA = 5;

	/** A gateway counts from this time after it passed on a response with a limit. */
	static final long TOLD_MS = 500;

	private final long stepMs;

	/** Sums of requests that the limits allow, up to and with each step. */
	private final List<Double> allowed = new ArrayList<>();

	/** Number of requests up to and with each step. */
	private final List<Integer> arrived = new ArrayList<>();

	/** Limits that were told to gateways by each step. */
	private final List<Double> told = new ArrayList<>();

	private double newestTold;

	private long startMs = -1;

	private int total;

	private double worst;

	private final List<String> violations = new ArrayList<>();

	LimitBound(long stepMs) {
		this.stepMs = stepMs;
	}

	void onArrival() {
		this.total++;
	}

	/**
	 * Takes in that a gateway passed on a response. A higher limit counts for
	 * {@link #TOLD_MS} after a lower one was told.
	 * @param limitPerS the valid limit that it names
	 */
	void onTold(double limitPerS) {
		this.newestTold = limitPerS;
	}

	/**
	 * Ends a step.
	 * @param limitPerS the limit that the server names; empty if it names none
	 * @param nowMs current time
	 */
	void step(OptionalDouble limitPerS, long nowMs) {
		if (limitPerS.isEmpty()) {
			this.startMs = -1;
		}
		else if (this.startMs < 0) {
			this.startMs = nowMs;
		}
		this.told.add(this.newestTold);
		int graceSteps = (int) (TOLD_MS / this.stepMs);
		double limit = this.told.subList(Math.max(0, this.told.size() - graceSteps), this.told.size())
			.stream()
			.mapToDouble(Double::doubleValue)
			.reduce(limitPerS.orElse(0), Math::max);
		this.allowed.add(last(this.allowed, 1, 0.0) + limit * this.stepMs / 1_000);
		this.arrived.add(this.total);
		if (this.startMs >= 0 && nowMs - this.startMs >= CONTACT_MS + WINDOW_MS) {
			check(nowMs);
		}
	}

	private void check(long nowMs) {
		int steps = (int) (WINDOW_MS / this.stepMs);
		int got = last(this.arrived, 1, 0) - last(this.arrived, 1 + steps, 0);
		double bound = FACTOR * (last(this.allowed, 1, 0.0) - last(this.allowed, 1 + steps, 0.0)) + EXTRA;
		this.worst = Math.max(this.worst, got / bound);
		if (got > bound) {
			this.violations.add("%d requests, bound %.1f, at %d".formatted(got, bound, nowMs));
		}
	}

	private static <T> T last(List<T> values, int backwards, T beforeFirst) {
		return (values.size() >= backwards) ? values.get(values.size() - backwards) : beforeFirst;
	}

	/**
	 * Returns when the server began to name a limit.
	 * @return the time; -1 while it names none
	 */
	long startMs() {
		return this.startMs;
	}

	/**
	 * Returns the most requests in a window.
	 * @return the requests as a part of the bound
	 */
	double worst() {
		return this.worst;
	}

	List<String> violations() {
		return this.violations;
	}

}
