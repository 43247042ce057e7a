package io.anvilusher.adapters.http;

import java.net.URI;
import java.util.List;

import io.anvilusher.model.request.HttpHeader;

/**
 * An HTTP request to send as a client.
 *
 * @param method request method, such as {@code GET}
 * @param target scheme, host and port of the server
 * @param path path and query
 * @param headers headers; Content-Length and a missing Host header are added
 * @param body body; empty if there is none
 * @param ownConnection whether to open a connection that no other call uses before or
 * after it, so that a refused connection proves that nothing was sent, and so that no
 * response of one call can be taken for that of another
 */
public record HttpCall(String method, URI target, String path, List<HttpHeader> headers, byte[] body,
		boolean ownConnection) {

	public HttpCall {
		headers = List.copyOf(headers);
	}

	/**
	 * Creates a call without headers that may reuse an idle connection.
	 * @param method request method, such as {@code GET}
	 * @param target scheme, host and port of the server
	 * @param path path and query
	 * @param body body; empty if there is none
	 * @return the call
	 */
	public static HttpCall of(String method, URI target, String path, byte[] body) {
		return new HttpCall(method, target, path, List.of(), body, false);
	}

}
