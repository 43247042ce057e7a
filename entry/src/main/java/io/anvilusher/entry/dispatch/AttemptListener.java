package io.anvilusher.entry.dispatch;

import java.util.List;

import com.google.protobuf.ByteString;

import io.anvilusher.model.request.AttemptOutcome;
import io.anvilusher.model.request.HttpHeader;

/**
 * Receives the progress of an attempt. No method is called after {@link #onEnded}.
 */
interface AttemptListener {

	/**
	 * Called when the response head has arrived.
	 * @param status the HTTP status
	 * @param headers the response headers
	 */
	void onHead(int status, List<HttpHeader> headers);

	/**
	 * Called for each chunk of the response body, in order.
	 * @param data the bytes of the chunk
	 */
	void onChunk(ByteString data);

	/**
	 * Called once when the attempt has ended.
	 * @param outcome the outcome
	 * @param promptTokens number of prompt tokens processed
	 * @param outputTokens number of tokens generated
	 */
	void onEnded(AttemptOutcome outcome, long promptTokens, long outputTokens);

}
