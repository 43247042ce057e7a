package io.anvilusher.entry.http;

import java.util.UUID;
import java.util.regex.Pattern;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;

/**
 * Ids by which callers and logs name a request.
 */
final class RequestIds {

	/** Header that carries the id in both directions. */
	static final HttpString HEADER = new HttpString("X-Request-Id");

	private static final Pattern FORM = Pattern.compile("[A-Za-z0-9._-]{1,64}");

	private RequestIds() {
	}

	static String of(HttpServerExchange exchange) {
		String sent = exchange.getRequestHeaders().getFirst(HEADER);
		return (sent != null && FORM.matcher(sent).matches()) ? sent : UUID.randomUUID().toString();
	}

}
