package io.anvilusher.entry.dispatch;

import java.util.List;

import com.google.protobuf.ByteString;

import io.anvilusher.model.request.AnswerHeader;
import io.anvilusher.model.request.AttemptOutcome;

/**
 * Learns how an attempt goes on. After {@link #onEnded} nothing follows.
 */
interface AttemptListener {

	/**
	 * The answer's head arrived.
	 * @param status the HTTP status
	 * @param headers headers
	 */
	void onHead(int status, List<AnswerHeader> headers);

	/**
	 * A part of the answer's body arrived, in order.
	 * @param data the part
	 */
	void onChunk(ByteString data);

	/**
	 * The attempt ended.
	 * @param outcome how
	 * @param promptTokens prompt tokens read
	 * @param outputTokens tokens generated
	 */
	void onEnded(AttemptOutcome outcome, long promptTokens, long outputTokens);

}
