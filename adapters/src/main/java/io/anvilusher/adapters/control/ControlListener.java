package io.anvilusher.adapters.control;

import io.anvilusher.logic.fold.ControlState;

/**
 * Learns of changes of the control state, on the control thread.
 */
@FunctionalInterface
public interface ControlListener {

	/**
	 * The state changed.
	 * @param before the state before
	 * @param after the state after
	 */
	void onState(ControlState before, ControlState after);

}
