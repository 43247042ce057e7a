package io.anvilusher.entry.http;

import java.util.UUID;
import java.util.regex.Pattern;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;

/**
 * Determines the id of a request, which appears in its response and in the logs.
 */
final class RequestIds {

	/** Header of the id in requests, responses and requests to backend servers. */
	static final HttpString HEADER = new HttpString("X-Request-Id");

	private static final Pattern ID_PATTERN = Pattern.compile("[A-Za-z0-9._-]{1,64}");

	private RequestIds() {
	}

	static String of(HttpServerExchange exchange) {
		String callerId = exchange.getRequestHeaders().getFirst(HEADER);
		return (callerId != null && ID_PATTERN.matcher(callerId).matches()) ? callerId : UUID.randomUUID().toString();
	}

}
