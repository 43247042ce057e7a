package io.anvilusher.logic.fold;

/**
 * Result of folding a record: whether its fact took effect, and if not, why.
 */
public enum Verdict {

	/** The fact took effect. */
	ACCEPTED,

	/** The record is at or before the applied offset. */
	ALREADY_APPLIED,

	/** Another fact changed what this fact is based on, or took effect instead of it. */
	STALE_BASE,

	/** The term under which the fact was appended is no longer current. */
	TERM_OVER,

	/** Another order for the same server or fleet is open. */
	ORDER_OPEN,

	/** What the fact refers to does not exist or has ended. */
	NOT_OPEN,

	/**
	 * The fact is inconsistent: its patch does not apply, or does not yield the text of
	 * its digest.
	 */
	INVALID;

	/**
	 * Returns whether the fact took effect.
	 * @return whether the verdict is {@link #ACCEPTED}
	 */
	public boolean isAccepted() {
		return this == ACCEPTED;
	}

}
