package io.anvilusher.entry.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.zip.CRC32;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;

import io.anvilusher.entry.dispatch.CallerRequest;
import io.anvilusher.entry.dispatch.Dispatcher;
import io.anvilusher.logic.config.TextPatches;
import io.anvilusher.logic.key.PresentedKey;
import io.anvilusher.model.config.RouteSpec;
import io.anvilusher.model.config.ServiceSpec;
import io.anvilusher.model.config.WorkspaceSpec;
import io.anvilusher.model.request.HttpHeader;

/**
 * Passes a request that all other filters have accepted to the dispatcher, without its
 * key.
 */
final class DispatchFilter implements RequestFilter {

	/**
	 * Header that informs engines whether a request is urgent; a caller's own is dropped.
	 */
	private static final HttpString PRIORITY = new HttpString("X-Request-Priority");

	/**
	 * Headers that are not passed on: those of the caller's connection, those that carry
	 * keys and those that the entry sets itself.
	 */
	private static final Set<HttpString> DROPPED_HEADERS = Set.of(Headers.AUTHORIZATION, KeyFilter.API_KEY,
			Headers.CONNECTION, Headers.TRANSFER_ENCODING, Headers.CONTENT_LENGTH, Headers.HOST, Headers.EXPECT,
			Headers.UPGRADE, Headers.TE, Headers.TRAILER, new HttpString("Keep-Alive"),
			new HttpString("Proxy-Connection"), new HttpString("Proxy-Authorization"), RequestIds.HEADER, PRIORITY);

	private final Dispatcher dispatcher;

	DispatchFilter(Dispatcher dispatcher) {
		this.dispatcher = dispatcher;
	}

	@Override
	public void filter(CallerExchange exchange, FilterChain chain) {
		HttpServerExchange http = exchange.http();
		ServiceSpec service = exchange.service().orElseThrow();
		boolean repeatable = exchange.route().map(RouteSpec::repeatable).orElse(true);
		String query = http.getQueryString();
		String path = http.getRequestURI() + (query.isEmpty() ? "" : "?" + query);
		String workspace = exchange.workspace().map((spec) -> spec.name()).orElse("");
		String fingerprint = TextPatches.digest(workspace + "\n" + service.name() + "\n" + exchange.method() + "\n"
				+ path + "\n" + new String(exchange.body(), StandardCharsets.ISO_8859_1));
		CallerRequest request = new CallerRequest(exchange.requestId(), exchange.workspace(),
				exchange.key().map(PresentedKey::keyId).orElse(""), service, exchange.method(), path, headers(exchange),
				exchange.body(), repeatable,
				Optional.ofNullable(http.getRequestHeaders().getFirst(AccessFilter.IDEMPOTENCY_KEY)),
				exchange.chat().map(ChatRequest::stream).orElse(false), fingerprint, prefixHash(exchange),
				exchange.receivedAtMs());
		this.dispatcher.submit(request, exchange.sink());
	}

	private static List<HttpHeader> headers(CallerExchange exchange) {
		List<HttpHeader> headers = new ArrayList<>();
		for (HeaderValues values : exchange.http().getRequestHeaders()) {
			if (!DROPPED_HEADERS.contains(values.getHeaderName())) {
				values.forEach((value) -> headers.add(new HttpHeader(values.getHeaderName().toString(), value)));
			}
		}
		headers.add(new HttpHeader(RequestIds.HEADER.toString(), exchange.requestId()));
		boolean urgent = exchange.workspace().map(WorkspaceSpec::urgent).orElse(false);
		headers.add(new HttpHeader(PRIORITY.toString(), urgent ? "1" : "0"));
		return headers;
	}

	private static OptionalLong prefixHash(CallerExchange exchange) {
		if (exchange.chat().isEmpty()) {
			return OptionalLong.empty();
		}
		CRC32 hash = new CRC32();
		hash.update(exchange.chat().get().model().getBytes(StandardCharsets.UTF_8));
		hash.update(exchange.chat().get().promptPrefix().getBytes(StandardCharsets.UTF_8));
		return OptionalLong.of(hash.getValue());
	}

}
