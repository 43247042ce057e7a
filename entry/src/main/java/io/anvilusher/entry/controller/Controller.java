package io.anvilusher.entry.controller;

/**
 * Brings one part of the system closer to what it should be. Called again and again on
 * the control thread, while the lease is held.
 */
@FunctionalInterface
interface Controller {

	/**
	 * Takes the next step, if there is one.
	 * @param authority the authority to act, valid at the time of the call
	 */
	void step(Authority authority);

}
