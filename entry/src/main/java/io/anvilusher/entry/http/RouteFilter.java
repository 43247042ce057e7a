package io.anvilusher.entry.http;

import java.util.Optional;

import io.anvilusher.model.config.ServiceSpec;
import io.anvilusher.model.request.RefusalReason;

/**
 * Finds the service of a request by its method and path. Chat completions pass without a
 * service, because {@link ChatFilter} finds it by the model that the body names.
 */
final class RouteFilter implements RequestFilter {

	static final String CHAT_PATH = "/v1/chat/completions";

	@Override
	public void filter(CallerExchange exchange, FilterChain chain) {
		if (isChat(exchange)) {
			chain.next(exchange);
			return;
		}
		Optional<ServiceSpec> service = exchange.configuration().serviceOfRoute(exchange.method(), exchange.path());
		if (service.isEmpty()) {
			exchange.refuse(RefusalReason.ROUTE_UNKNOWN, "No route for " + exchange.method() + " " + exchange.path());
			return;
		}
		exchange.setService(service.get());
		service.get().route(exchange.method(), exchange.path()).ifPresent(exchange::setRoute);
		chain.next(exchange);
	}

	static boolean isChat(CallerExchange exchange) {
		return exchange.method().equals("POST") && exchange.path().equals(CHAT_PATH);
	}

}
