package io.anvilusher.logic.usage;

/**
 * The era of the store to which a register of seals belongs. Seals of earlier eras may be
 * lost.
 *
 * @param number the era; negative if the store names none
 * @param firstWindow number of the first window that cannot have been sealed in an
 * earlier era
 */
public record SealEra(long number, long firstWindow) {

	/** The era of a store that names none, and never returns from an older copy. */
	public static final SealEra NOT_NAMED = new SealEra(-1, Long.MIN_VALUE);

}
