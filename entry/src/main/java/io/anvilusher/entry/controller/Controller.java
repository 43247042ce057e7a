package io.anvilusher.entry.controller;

/**
 * Reconciles one part of the system with its desired state. Called periodically on the
 * control thread while the lease is held.
 */
@FunctionalInterface
interface Controller {

	/**
	 * Takes the next step towards the desired state, if there is one. Does not block.
	 * @param authority the authority to act, which was valid just before the call
	 */
	void reconcile(Authority authority);

}
