package io.anvilusher.gateway.request;

import java.util.Optional;

import io.undertow.server.HttpServerExchange;

import io.anvilusher.gateway.wire.CallerHead;
import io.anvilusher.model.routing.Route;

/**
 * A caller's request after it was read whole and allowed.
 *
 * @param exchange the exchange
 * @param head what its head says
 * @param body the body; empty for none
 * @param route its route
 * @param service the service that it goes to
 * @param workspace the workspace that it runs for; empty on a route that is open to all
 * @param tableVersion version of the routing table that allowed it
 * @param arrivedAtMs time at which its head was read
 */
public record RequestInput(HttpServerExchange exchange, CallerHead head, byte[] body, Route route, String service,
		Optional<String> workspace, long tableVersion, long arrivedAtMs) {

	long deadlineMs() {
		return this.arrivedAtMs + this.head.remainingMs().orElse(this.route.timeoutMs());
	}

	long endMs() {
		return Math.min(deadlineMs(), this.arrivedAtMs + this.route.timeoutMs());
	}

	String path() {
		String query = this.exchange.getQueryString();
		String path = this.exchange.getRequestURI();
		return query.isEmpty() ? path : path + "?" + query;
	}

}
