package io.anvilusher.adapters.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

import io.anvilusher.model.request.AnswerHeader;

/**
 * Receives what happens to a call. All calls come from one thread; after {@link #onEnd()}
 * or {@link #onFailure} none follows.
 */
public interface HttpCallListener {

	/**
	 * A connection is open and the request is about to be written. From here on the
	 * server may run it.
	 */
	default void onSending() {
	}

	/**
	 * The answer's head arrived.
	 * @param status status of the answer
	 * @param headers headers
	 * @param framed whether the answer tells its own length, so that a cut can be noticed
	 */
	void onHead(int status, List<AnswerHeader> headers, boolean framed);

	/**
	 * A part of the answer's body arrived.
	 * @param data the part, valid only during the call
	 */
	void onData(ByteBuffer data);

	/**
	 * The answer ended, with as many bytes as it announced.
	 */
	void onEnd();

	/**
	 * The call failed.
	 * @param sent whether a byte of the request may have reached the server
	 * @param cause the cause
	 */
	void onFailure(boolean sent, IOException cause);

}
