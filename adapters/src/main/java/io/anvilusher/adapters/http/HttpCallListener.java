package io.anvilusher.adapters.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

import io.anvilusher.model.request.HttpHeader;

/**
 * Receives the events of a call. All methods are called on one thread, and none is called
 * after {@link #onEnd()} or {@link #onFailure}.
 */
public interface HttpCallListener {

	/**
	 * A connection is open and the request is about to be written. From now on the server
	 * may run the request.
	 */
	default void onSending() {
	}

	/**
	 * The status and headers of the response arrived.
	 * @param status status code of the response
	 * @param headers headers of the response
	 * @param framed whether the response has a Content-Length, is chunked or has no body,
	 * so that a truncated body can be detected
	 */
	void onHead(int status, List<HttpHeader> headers, boolean framed);

	/**
	 * A part of the response body arrived.
	 * @param data the part; the buffer is reused after this method returns
	 */
	void onData(ByteBuffer data);

	/**
	 * The response ended. A framed response is complete; one that is not framed may have
	 * been truncated.
	 */
	void onEnd();

	/**
	 * The call failed or was cancelled.
	 * @param sent whether part of the request may have reached the server
	 * @param cause cause of the failure
	 */
	void onFailure(boolean sent, IOException cause);

}
