package io.anvilusher.adapters.http;

import java.net.URI;
import java.util.List;

import io.anvilusher.model.request.AnswerHeader;

/**
 * A call to make.
 *
 * @param method name of the method
 * @param target scheme, host and port of the server
 * @param path path and query
 * @param headers headers besides Host and Content-Length
 * @param body body; empty for none
 * @param freshConnection whether a kept connection must not be used, so that a refused
 * connection proves that nothing was sent
 */
public record HttpCall(String method, URI target, String path, List<AnswerHeader> headers, byte[] body,
		boolean freshConnection) {

	public HttpCall {
		headers = List.copyOf(headers);
	}

	/**
	 * Creates a call without headers, on any connection.
	 * @param method name of the method
	 * @param target scheme, host and port of the server
	 * @param path path and query
	 * @param body body; empty for none
	 * @return the call
	 */
	public static HttpCall of(String method, URI target, String path, byte[] body) {
		return new HttpCall(method, target, path, List.of(), body, false);
	}

}
