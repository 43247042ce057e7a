package io.anvilusher.adapters.http;

import java.nio.charset.StandardCharsets;
import java.util.List;

import io.anvilusher.model.request.HttpHeader;

/**
 * A complete response.
 *
 * @param status HTTP status code
 * @param headers headers, as the server sent them
 * @param body body; empty if there is none
 */
public record HttpCallResponse(int status, List<HttpHeader> headers, byte[] body) {

	public HttpCallResponse {
		headers = List.copyOf(headers);
	}

	/**
	 * Returns whether the status code means success.
	 * @return whether it is between 200 and 299
	 */
	public boolean isSuccess() {
		return this.status >= 200 && this.status < 300;
	}

	/**
	 * Returns the body as text.
	 * @return the body, decoded as UTF-8
	 */
	public String text() {
		return new String(this.body, StandardCharsets.UTF_8);
	}

}
