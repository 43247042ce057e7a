package io.anvilusher.entry.dispatch;

import java.util.List;

import com.google.protobuf.ByteString;

import io.anvilusher.model.request.AnswerHeader;
import io.anvilusher.model.request.RefusalReason;

/**
 * Takes the answer to a request to its caller. Calls return at once.
 */
public interface AnswerSink {

	/**
	 * Sends a whole answer.
	 * @param status the HTTP status
	 * @param headers headers
	 * @param body body
	 */
	void answer(int status, List<AnswerHeader> headers, ByteString body);

	/**
	 * Begins an answer whose body follows in parts.
	 * @param status the HTTP status
	 * @param headers headers
	 */
	void begin(int status, List<AnswerHeader> headers);

	/**
	 * Sends a part of the body.
	 * @param data the part
	 * @param onWritten called when the part has left
	 */
	void write(ByteString data, Runnable onWritten);

	/**
	 * Ends an answer that was begun.
	 */
	void end();

	/**
	 * Sends a refusal. An answer that was begun is broken off so that its caller can see
	 * that it is not whole.
	 * @param reason why the request has no whole answer
	 * @param detail what else the caller should know; may be empty
	 */
	void refuse(RefusalReason reason, String detail);

	/**
	 * Sets what to do when the caller goes away before the answer's end.
	 * @param action the action
	 */
	void onCallerGone(Runnable action);

}
