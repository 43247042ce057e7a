package io.anvilusher.entry.http;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.regex.Pattern;

import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;

import io.anvilusher.logic.key.PresentedKey;
import io.anvilusher.model.config.ServiceSpec;
import io.anvilusher.model.config.WorkspaceSpec;
import io.anvilusher.model.request.RefusalReason;

/**
 * Checks that the workspace may use the service, that the idempotency key is well-formed
 * and that the workspace key appears only in its own header, which is not passed on. A
 * key anywhere else would reach the backend server.
 */
final class AccessFilter implements RequestFilter {

	static final HttpString IDEMPOTENCY_KEY = new HttpString("Idempotency-Key");

	private static final Pattern IDEMPOTENCY_KEY_PATTERN = Pattern.compile("[\\x21-\\x7e]{1,255}");

	@Override
	public void filter(CallerExchange exchange, FilterChain chain) {
		ServiceSpec service = exchange.service().orElseThrow();
		Optional<WorkspaceSpec> workspace = exchange.workspace();
		if (workspace.isPresent() && !workspace.get().services().contains(service.name())) {
			exchange.refuse(RefusalReason.SERVICE_FORBIDDEN,
					"Workspace \"" + workspace.get().name() + "\" may not use service \"" + service.name() + "\"");
			return;
		}
		if (exchange.key().filter((key) -> appearsOutsideItsHeader(exchange, key)).isPresent()) {
			exchange.refuse(RefusalReason.KEY_OUTSIDE_HEADER, "The key stands in the path, the body or another header");
			return;
		}
		HeaderValues idempotencyKeys = exchange.http().getRequestHeaders().get(IDEMPOTENCY_KEY);
		if (idempotencyKeys != null && (idempotencyKeys.size() > 1
				|| !IDEMPOTENCY_KEY_PATTERN.matcher(idempotencyKeys.getFirst()).matches())) {
			exchange.refuse(RefusalReason.MALFORMED_IDEMPOTENCY_KEY, "Idempotency-Key has 1 to 255 visible characters");
			return;
		}
		chain.next(exchange);
	}

	private static boolean appearsOutsideItsHeader(CallerExchange exchange, PresentedKey key) {
		String secret = key.secret();
		if (exchange.http().getRequestURI().contains(secret) || exchange.http().getQueryString().contains(secret)
				|| new String(exchange.body(), StandardCharsets.ISO_8859_1).contains(secret)) {
			return true;
		}
		for (HeaderValues values : exchange.http().getRequestHeaders()) {
			HttpString name = values.getHeaderName();
			boolean isKeyHeader = name.equals(Headers.AUTHORIZATION) || name.equals(KeyFilter.API_KEY);
			if (!isKeyHeader && values.stream().anyMatch((value) -> value.contains(secret))) {
				return true;
			}
		}
		return false;
	}

}
