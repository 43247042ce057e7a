package io.anvilusher.entry;

/**
 * Tells whether the entry's view of keys is new enough to trust.
 */
@FunctionalInterface
public interface KeyFreshness {

	/**
	 * Tells whether keyed requests may be served.
	 * @return whether they may
	 */
	boolean keysAreFresh();

}
