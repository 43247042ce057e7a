package io.anvilusher.adapters.http;

/**
 * A call that is under way.
 */
public interface RunningCall {

	/**
	 * Stops reading the answer until it is resumed.
	 */
	void pause();

	/**
	 * Reads on after a pause.
	 */
	void resume();

	/**
	 * Breaks the call off by closing its connection. The listener hears of a failure
	 * unless the call had ended.
	 */
	void cancel();

}
