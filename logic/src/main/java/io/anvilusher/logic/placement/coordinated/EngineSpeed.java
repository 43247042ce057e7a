package io.anvilusher.logic.placement.coordinated;

/**
 * Learns how long an engine takes to prefill a token. The time that the engine reports
 * for its machine, relative to the usual, takes effect at once; what it does not explain
 * is learned from completed prompts. Confined to one thread.
 */
final class EngineSpeed {

	/** Prefill time of a token before anything is known, in ms. */
	static final double INITIAL_MS_PER_TOKEN = 1.0 / 300;

	/** A decode engine prefills between the steps of its responses, at half the speed. */
	static final double DECODE_ROLE_FACTOR = 2;

	/** Share of the difference, by ratio, that one completed prompt corrects. */
	static final double LEARNING_RATE = 0.08;

	/**
	 * Prompts with a shorter expected prefill show the network rather than the engine.
	 */
	static final double MIN_OBSERVED_MS = 12;

	/** Bound on the ratio of one observation: a lost message is not a slow engine. */
	static final double MAX_RATIO = 3;

	/** Bounds of the learned correction. */
	static final double MIN_SCALE = 0.1;

	static final double MAX_SCALE = 30;

	private static final double USUAL_PERCENT = 100;

	private final boolean prefillRole;

	private double scale;

	private double relativeTime = 1;

	private double usualRelativeTime = Double.MAX_VALUE;

	/**
	 * Creates the speed of an engine that has completed nothing yet.
	 * @param prefillRole whether the engine only prefills
	 * @param scale correction to start from: that of the other engines
	 */
	EngineSpeed(boolean prefillRole, double scale) {
		this.prefillRole = prefillRole;
		this.scale = scale;
	}

	/**
	 * Records the relative time that the engine reports.
	 * @param percent time for work at this moment in percent of the usual
	 */
	void onReport(int percent) {
		this.relativeTime = Math.max(1, percent) / USUAL_PERCENT;
		this.usualRelativeTime = Math.min(this.usualRelativeTime, this.relativeTime);
	}

	/**
	 * Records a completed prefill.
	 * @param expectedMs time expected when the prompt was sent, including earlier work
	 * @param actualMs time that it took
	 */
	void onPrefilled(double expectedMs, double actualMs) {
		if (expectedMs < MIN_OBSERVED_MS) {
			return;
		}
		double ratio = Math.min(MAX_RATIO, Math.max(1 / MAX_RATIO, actualMs / expectedMs));
		this.scale = Math.min(MAX_SCALE, Math.max(MIN_SCALE, this.scale * Math.pow(ratio, LEARNING_RATE)));
	}

	/**
	 * Returns the prefill time of a token now.
	 * @return milliseconds
	 */
	double msPerToken() {
		return this.scale * this.relativeTime * INITIAL_MS_PER_TOKEN * (this.prefillRole ? 1 : DECODE_ROLE_FACTOR);
	}

	/**
	 * Returns the time for work on this engine relative to others of its role, apart from
	 * what slows it for a moment.
	 * @return the lowest reported relative time; 1 without a report
	 */
	double usualRelativeTime() {
		return (this.usualRelativeTime == Double.MAX_VALUE) ? 1 : this.usualRelativeTime;
	}

	double scale() {
		return this.scale;
	}

}
