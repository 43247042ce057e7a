package io.anvilusher.entry;

/**
 * Decides whether the known keys are recent enough to accept requests by them.
 */
@FunctionalInterface
public interface KeyFreshness {

	/**
	 * Returns whether requests that need a key may be served.
	 * @return whether they may
	 */
	boolean keysAreFresh();

}
