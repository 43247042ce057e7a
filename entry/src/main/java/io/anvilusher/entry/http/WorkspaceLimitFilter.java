package io.anvilusher.entry.http;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import io.anvilusher.model.config.WorkspaceSpec;
import io.anvilusher.model.request.RefusalReason;

/**
 * Limits the requests that a workspace has in hand at this entry.
 */
final class WorkspaceLimitFilter implements RequestFilter {

	private final Map<String, AtomicInteger> inHand = new ConcurrentHashMap<>();

	@Override
	public void filter(CallerExchange exchange, FilterChain chain) {
		if (exchange.workspace().isEmpty()) {
			chain.next(exchange);
			return;
		}
		WorkspaceSpec workspace = exchange.workspace().get();
		AtomicInteger count = this.inHand.computeIfAbsent(workspace.name(), (name) -> new AtomicInteger());
		exchange.http().addExchangeCompleteListener((http, next) -> {
			count.decrementAndGet();
			next.proceed();
		});
		if (count.incrementAndGet() > workspace.maxConcurrent()) {
			exchange.refuse(RefusalReason.WORKSPACE_LIMIT,
					"The workspace may have " + workspace.maxConcurrent() + " requests in hand");
			return;
		}
		chain.next(exchange);
	}

}
