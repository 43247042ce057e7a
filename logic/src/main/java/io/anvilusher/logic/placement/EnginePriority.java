package io.anvilusher.logic.placement;

/**
 * Order in which an engine admits the requests that wait for it. It also preempts running
 * requests for more urgent ones.
 */
public enum EnginePriority {

	/** A short prompt delays others only a little; a long one would delay it a lot. */
	SHORT_PROMPT(1),

	/** The KV cache of the prompt has been computed and occupies another engine. */
	PREFILLED(2),

	/** A long prompt that can be prefilled in time. */
	LONG_PROMPT(4),

	/** A long prompt beyond what the engines can prefill in time. */
	DEFERRED(6);

	private final int level;

	EnginePriority(int level) {
		this.level = level;
	}

	/**
	 * Returns the level as engines understand it.
	 * @return a number from 0, the most urgent, to 9
	 */
	public int level() {
		return this.level;
	}

}
