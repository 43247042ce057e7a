package io.anvilusher.adapters.control;

import io.anvilusher.logic.fold.ControlState;

/**
 * Listens to changes of the control state. It is called on the control thread.
 */
@FunctionalInterface
public interface ControlListener {

	/**
	 * Handles a change of the state.
	 * @param before state before the change
	 * @param after state after the change
	 */
	void onState(ControlState before, ControlState after);

}
