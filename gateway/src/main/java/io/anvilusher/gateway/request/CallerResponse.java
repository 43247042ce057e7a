package io.anvilusher.gateway.request;

import java.util.List;
import java.util.OptionalLong;

import io.anvilusher.model.request.HttpHeader;
import io.anvilusher.model.request.RefusalReason;

/**
 * The response to a caller. Status and headers are sent together with the first bytes of
 * the body, so until then a different outcome can still be reported.
 */
interface CallerResponse {

	/**
	 * Sends an error response that names the reason. Does nothing if a response has been
	 * started already.
	 * @param reason why the request is refused
	 * @param retryAfterMs delay after which the caller should retry, in ms; empty for no
	 * Retry-After header
	 */
	void refuse(RefusalReason reason, OptionalLong retryAfterMs);

	/**
	 * Ends the response after an unexpected exception, in whatever state it is: refuses
	 * the request if no response has been started, otherwise closes the connection, so
	 * that the caller does not take a part for the whole.
	 * @param reason why the request is refused
	 * @param retryAfterMs delay after which the caller should retry, in ms; empty for no
	 * Retry-After header
	 */
	void endUnexpectedly(RefusalReason reason, OptionalLong retryAfterMs);

	/**
	 * Sends a complete response. Does nothing if a response has been started already.
	 * @param status status code
	 * @param headers the headers without Content-Length
	 * @param body the body
	 */
	void send(int status, List<HttpHeader> headers, byte[] body);

	/**
	 * Starts a stream.
	 * @param status status code
	 * @param headers the headers
	 */
	void beginStream(int status, List<HttpHeader> headers);

	/**
	 * Sends events of a stream.
	 * @param events one or more whole events
	 * @param onWritten runs once they were passed to the connection
	 */
	void sendEvents(byte[] events, Runnable onWritten);

	/** Ends a stream once its events are written. */
	void endStream();

	/** Closes the connection once the events are written. */
	void abort();

	/**
	 * Returns the size of what the connection has not accepted yet.
	 * @return size in bytes
	 */
	int pendingBytes();

	/**
	 * Sets what is run if the caller closes the connection before the response has ended.
	 * @param action the action
	 */
	void onCallerDisconnected(Runnable action);

}
