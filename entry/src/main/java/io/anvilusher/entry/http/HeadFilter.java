package io.anvilusher.entry.http;

import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;

import io.anvilusher.model.request.RefusalReason;

/**
 * Refuses request heads that two HTTP parsers could interpret differently, which prevents
 * request smuggling.
 */
final class HeadFilter implements RequestFilter {

	@Override
	public void filter(CallerExchange exchange, FilterChain chain) {
		HeaderMap headers = exchange.http().getRequestHeaders();
		HeaderValues lengths = headers.get(Headers.CONTENT_LENGTH);
		HeaderValues encodings = headers.get(Headers.TRANSFER_ENCODING);
		if (lengths != null && lengths.size() > 1) {
			refuse(exchange, "Content-Length stands twice");
			return;
		}
		if (lengths != null && encodings != null) {
			refuse(exchange, "Content-Length stands beside Transfer-Encoding");
			return;
		}
		if (encodings != null && (encodings.size() > 1 || !encodings.getFirst().equalsIgnoreCase("chunked"))) {
			refuse(exchange, "Transfer-Encoding is not just chunked");
			return;
		}
		if (hasControlCharacters(headers)) {
			refuse(exchange, "A header holds a bare CR, LF or NUL");
			return;
		}
		HeaderValues hosts = headers.get(Headers.HOST);
		if (hosts == null || hosts.size() != 1) {
			refuse(exchange, "There must be one Host header");
			return;
		}
		chain.next(exchange);
	}

	private static void refuse(CallerExchange exchange, String detail) {
		exchange.http().setPersistent(false);
		exchange.refuse(RefusalReason.AMBIGUOUS_HEAD, detail);
	}

	private static boolean hasControlCharacters(HeaderMap headers) {
		for (HeaderValues values : headers) {
			boolean found = values.stream()
				.anyMatch((value) -> value.chars()
					.anyMatch((character) -> character == '\r' || character == '\n' || character == 0));
			if (found || values.getHeaderName().toString().chars().anyMatch((character) -> character <= ' ')) {
				return true;
			}
		}
		return false;
	}

}
