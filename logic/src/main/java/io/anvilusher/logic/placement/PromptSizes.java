package io.anvilusher.logic.placement;

/**
 * Keeps large prompts of a kind of request from being left out while smaller ones are
 * served.
 * <p>
 * A {@link PromptWindow} has room for a small prompt more often than for a large one. As
 * long as large prompts are served nearly as often as all, that is the best use of the
 * engines: it serves most prompts. If they are served clearly less often, each prompt
 * counts for less of its tokens the larger it is, just as much as it takes to serve the
 * large ones again. Confined to one thread.
 */
final class PromptSizes {

	/** Weight of the newest prompt in the moving averages over all prompts. */
	static final double NEWEST_WEIGHT = 0.01;

	/** Weight of the newest large prompt in their served share. */
	static final double NEWEST_LARGE_WEIGHT = 0.05;

	/** A prompt is large from this multiple of the mean size. */
	static final double LARGE_FACTOR = 1.5;

	/**
	 * Large prompts are left out if they are served less often than this share of all.
	 */
	static final double MIN_LARGE_SHARE = 0.65;

	/** Change of the exponent with each prompt. */
	static final double EXPONENT_STEP = 0.005;

	/**
	 * Largest exponent. From 1 on, the size of a prompt does not count any more, only the
	 * share that the engine has not cached.
	 */
	static final double MAX_EXPONENT = 1.5;

	private double meanTokens;

	private double servedShare = 1;

	private double largeServedShare = 1;

	private double exponent;

	/**
	 * Records that a prompt was placed.
	 * @param promptTokens number of tokens of the prompt
	 */
	void onPlaced(int promptTokens) {
		onDecided(promptTokens, 1);
	}

	/**
	 * Records that a prompt was refused because no engine had room for it.
	 * @param promptTokens number of tokens of the prompt
	 */
	void onRefused(int promptTokens) {
		onDecided(promptTokens, 0);
	}

	private void onDecided(int promptTokens, double served) {
		this.meanTokens = (this.meanTokens == 0) ? promptTokens
				: this.meanTokens + NEWEST_WEIGHT * (promptTokens - this.meanTokens);
		this.servedShare += NEWEST_WEIGHT * (served - this.servedShare);
		if (promptTokens > LARGE_FACTOR * this.meanTokens) {
			this.largeServedShare += NEWEST_LARGE_WEIGHT * (served - this.largeServedShare);
		}
		double step = (this.largeServedShare < MIN_LARGE_SHARE * this.servedShare) ? EXPONENT_STEP : -EXPONENT_STEP;
		this.exponent = Math.max(0, Math.min(MAX_EXPONENT, this.exponent + step));
	}

	/**
	 * Returns how many tokens a prompt counts for when it is compared with the room in a
	 * window.
	 * @param uncachedTokens tokens of the prompt that the engine would have to prefill
	 * @param promptTokens number of tokens of the prompt
	 * @return number of tokens; those to prefill unless large prompts are left out
	 */
	double countedTokens(int uncachedTokens, int promptTokens) {
		return (this.exponent == 0) ? uncachedTokens
				: uncachedTokens * Math.pow(this.meanTokens / Math.max(1, promptTokens), this.exponent);
	}

}
