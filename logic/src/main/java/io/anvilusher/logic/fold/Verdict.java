package io.anvilusher.logic.fold;

/**
 * What became of a record in the fold.
 */
public enum Verdict {

	/** The fact took effect. */
	ACCEPTED,

	/** The fact had been folded before. */
	ALREADY_APPLIED,

	/** Another fact came first. */
	STALE_BASE,

	/** The term under which the fact was written is over. */
	TERM_OVER,

	/** Another order for the same server or fleet is open. */
	ORDER_OPEN,

	/** What the fact speaks of is not known, or has ended. */
	NOT_OPEN,

	/** The fact contradicts itself, such as a patch that does not fit its base. */
	INVALID;

	/**
	 * Tells whether the fact took effect.
	 * @return whether it did
	 */
	public boolean isAccepted() {
		return this == ACCEPTED;
	}

}
