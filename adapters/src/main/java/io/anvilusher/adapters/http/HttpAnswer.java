package io.anvilusher.adapters.http;

import java.nio.charset.StandardCharsets;
import java.util.List;

import io.anvilusher.model.request.AnswerHeader;

/**
 * A whole answer.
 *
 * @param status HTTP status
 * @param headers headers
 * @param body body
 */
public record HttpAnswer(int status, List<AnswerHeader> headers, byte[] body) {

	public HttpAnswer {
		headers = List.copyOf(headers);
	}

	/**
	 * Tells whether the status is one of success.
	 * @return whether it is from 200 to 299
	 */
	public boolean isSuccess() {
		return this.status >= 200 && this.status < 300;
	}

	/**
	 * Returns the body as a text.
	 * @return the body, read as UTF-8
	 */
	public String text() {
		return new String(this.body, StandardCharsets.UTF_8);
	}

}
