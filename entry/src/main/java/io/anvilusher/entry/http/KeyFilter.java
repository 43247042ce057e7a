package io.anvilusher.entry.http;

import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.Supplier;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;

import io.anvilusher.entry.KeyFreshness;
import io.anvilusher.logic.fold.KeyState;
import io.anvilusher.logic.key.KeySecrets;
import io.anvilusher.logic.key.PresentedKey;
import io.anvilusher.model.config.RouteSpec;
import io.anvilusher.model.config.WorkspaceSpec;
import io.anvilusher.model.key.WorkspaceKey;
import io.anvilusher.model.request.RefusalReason;

/**
 * Authenticates a request by its workspace key, except on open routes, which need no key.
 */
final class KeyFilter implements RequestFilter {

	/** Header that may carry the key in place of {@code Authorization}. */
	static final HttpString API_KEY = new HttpString("X-Api-Key");

	private static final String BEARER_PREFIX = "Bearer ";

	private final Supplier<KeyState> keys;

	private final Predicate<String> isWithdrawn;

	private final KeyFreshness freshness;

	KeyFilter(Supplier<KeyState> keys, Predicate<String> isWithdrawn, KeyFreshness freshness) {
		this.keys = keys;
		this.isWithdrawn = isWithdrawn;
		this.freshness = freshness;
	}

	@Override
	public void filter(CallerExchange exchange, FilterChain chain) {
		if (exchange.route().filter(RouteSpec::open).isPresent()) {
			chain.next(exchange);
			return;
		}
		Optional<String> keyText = readKeyText(exchange.http().getRequestHeaders());
		if (keyText.isEmpty()) {
			exchange.refuse(RefusalReason.KEY_MISSING, "Send the key as Authorization: Bearer, or as X-Api-Key");
			return;
		}
		Optional<PresentedKey> key = KeySecrets.parse(keyText.get());
		Optional<WorkspaceSpec> workspace = key.flatMap((parsed) -> KeySecrets.check(this.keys.get(), parsed))
			.filter((granted) -> !this.isWithdrawn.test(granted.keyId()))
			.map(WorkspaceKey::workspace)
			.flatMap(exchange.configuration()::workspace);
		if (workspace.isEmpty()) {
			exchange.refuse(RefusalReason.KEY_UNKNOWN, "");
			return;
		}
		if (!this.freshness.keysAreFresh()) {
			exchange.refuse(RefusalReason.KEYS_STALE, "");
			return;
		}
		exchange.setKey(key.get(), workspace.get());
		chain.next(exchange);
	}

	private static Optional<String> readKeyText(HeaderMap headers) {
		String apiKey = headers.getFirst(API_KEY);
		if (apiKey != null) {
			return Optional.of(apiKey.strip());
		}
		return Optional.ofNullable(headers.getFirst(Headers.AUTHORIZATION))
			.filter((value) -> value.regionMatches(true, 0, BEARER_PREFIX, 0, BEARER_PREFIX.length()))
			.map((value) -> value.substring(BEARER_PREFIX.length()).strip());
	}

}
