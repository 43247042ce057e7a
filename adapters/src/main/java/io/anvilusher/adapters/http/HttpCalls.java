package io.anvilusher.adapters.http;

import io.undertow.connector.ByteBufferPool;

import io.anvilusher.logic.admission.MemoryBudget;

/**
 * Makes HTTP calls as a client.
 */
public interface HttpCalls {

	/**
	 * Starts a call. Any failure, also one to open a connection at all, is reported to
	 * the listener, possibly before this method returns.
	 * @param call the call
	 * @param listener receives the events of the call
	 * @return handle of the call in progress
	 */
	RunningCall start(HttpCall call, HttpCallListener listener);

	/**
	 * Returns the budget of the memory for responses.
	 * @return the budget, which other messages of the process may share
	 */
	MemoryBudget memory();

	/**
	 * Returns the buffers that messages are read into.
	 * @return the pool, which other messages of the process may share
	 */
	ByteBufferPool buffers();

}
