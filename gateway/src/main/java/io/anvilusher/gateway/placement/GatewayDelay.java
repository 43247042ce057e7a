package io.anvilusher.gateway.placement;

/**
 * Learns how much longer this gateway takes until a first event than its coordinator
 * expects. Gateways with little processor time or a slow link need tens of milliseconds
 * to send a prompt, and twice that if it is sent to two engines. Confined to one thread.
 */
final class GatewayDelay {

	/** Weight of the newest request in the moving averages. */
	static final double WEIGHT = 0.1;

	/**
	 * Upper bound: half of the shortest targets of the expected workloads, so that a
	 * gateway never gives up all prompts.
	 */
	static final double MAX_MS = 100;

	private double averageSingleMs;

	private double averageSplitMs;

	/**
	 * Records a first event.
	 * @param split whether the request was sent to two engines
	 * @param excessMs time that it took beyond the expected one, in ms
	 */
	void onFirstEvent(boolean split, long excessMs) {
		double bounded = Math.min(2 * MAX_MS, Math.max(-MAX_MS, excessMs));
		if (split) {
			this.averageSplitMs += WEIGHT * (bounded - this.averageSplitMs);
		}
		else {
			this.averageSingleMs += WEIGHT * (bounded - this.averageSingleMs);
		}
	}

	long singleMs() {
		return bounded(this.averageSingleMs);
	}

	long splitExtraMs() {
		return bounded(this.averageSplitMs - Math.max(0, this.averageSingleMs));
	}

	private static long bounded(double averageMs) {
		return (long) Math.min(MAX_MS, Math.max(0, averageMs));
	}

}
