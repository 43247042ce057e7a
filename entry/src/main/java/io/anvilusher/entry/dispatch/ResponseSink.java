package io.anvilusher.entry.dispatch;

import java.util.List;

import com.google.protobuf.ByteString;

import io.anvilusher.model.request.HttpHeader;
import io.anvilusher.model.request.RefusalReason;

/**
 * Sends the response to the caller of a request. No method blocks.
 */
public interface ResponseSink {

	/**
	 * Sends a complete response.
	 * @param status the HTTP status
	 * @param headers the response headers
	 * @param body the complete body
	 */
	void respond(int status, List<HttpHeader> headers, ByteString body);

	/**
	 * Begins a response whose body is written in parts.
	 * @param status the HTTP status
	 * @param headers the response headers
	 */
	void begin(int status, List<HttpHeader> headers);

	/**
	 * Writes a part of the body.
	 * @param data the bytes of the part
	 * @param onWritten called when the part has been written to the connection
	 */
	void write(ByteString data, Runnable onWritten);

	/**
	 * Ends a response that was begun with {@link #begin}.
	 */
	void end();

	/**
	 * Sends an error response. A response that was begun is aborted instead, so that the
	 * caller can see that it is incomplete.
	 * @param reason the reason reported to the caller
	 * @param detail further text for the caller; may be empty
	 */
	void refuse(RefusalReason reason, String detail);

	/**
	 * Sets the action to run when the caller disconnects before the response has ended.
	 * @param action the action
	 */
	void onCallerDisconnected(Runnable action);

}
