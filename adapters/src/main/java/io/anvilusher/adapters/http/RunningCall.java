package io.anvilusher.adapters.http;

/**
 * A call in progress. Its methods may be called on any thread, except as noted.
 */
public interface RunningCall {

	/**
	 * Stops reading the response until {@link #resume()}, so that the server is slowed
	 * down by flow control.
	 */
	void pause();

	/**
	 * Continues reading the response after {@link #pause()}.
	 */
	void resume();

	/**
	 * Returns whether the whole request has been passed to the connection. Unlike the
	 * other methods, called on the thread of the call only.
	 * @return false if a part of it is still to be written
	 */
	boolean isRequestWritten();

	/**
	 * Cancels the call by closing its connection. The listener is notified of a failure
	 * unless the call has already ended.
	 */
	void cancel();

}
