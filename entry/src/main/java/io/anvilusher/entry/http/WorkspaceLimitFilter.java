package io.anvilusher.entry.http;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import io.anvilusher.model.config.WorkspaceSpec;
import io.anvilusher.model.request.RefusalReason;

/**
 * Limits the number of requests of a workspace that are active at this entry.
 */
final class WorkspaceLimitFilter implements RequestFilter {

	private final Map<String, AtomicInteger> activeByWorkspace = new ConcurrentHashMap<>();

	@Override
	public void filter(CallerExchange exchange, FilterChain chain) {
		if (exchange.workspace().isEmpty()) {
			chain.next(exchange);
			return;
		}
		WorkspaceSpec workspace = exchange.workspace().get();
		AtomicInteger active = this.activeByWorkspace.computeIfAbsent(workspace.name(), (name) -> new AtomicInteger());
		exchange.http().addExchangeCompleteListener((http, next) -> {
			active.decrementAndGet();
			next.proceed();
		});
		if (active.incrementAndGet() > workspace.maxConcurrent()) {
			exchange.refuse(RefusalReason.WORKSPACE_LIMIT,
					"The workspace may have " + workspace.maxConcurrent() + " requests in hand");
			return;
		}
		chain.next(exchange);
	}

}
