package io.anvilusher.gateway.request;

import java.util.List;
import java.util.Optional;

import io.undertow.server.HttpServerExchange;

import io.anvilusher.gateway.allowance.RequestCharge;
import io.anvilusher.gateway.suspect.RequestSubjects;
import io.anvilusher.gateway.wire.RequestHead;
import io.anvilusher.model.request.PromptShape;
import io.anvilusher.model.routing.Route;

/**
 * A caller's request whose body has been read and whose key and route have been checked.
 *
 * @param exchange the exchange with the caller
 * @param head values read from the request's headers
 * @param body the body; empty if the request has none
 * @param route the matched route
 * @param service the service selected by the route's traffic split
 * @param workspace the workspace of the caller's key; empty if no known key was given,
 * which only a route open to all or a routing table that requires no keys allows
 * @param tableVersion version of the routing table used for the request
 * @param arrivedAtMs time at which the headers were read, by the monotonic clock
 * @param charge what the request was charged to the allowance of its workspace
 */
public record RequestInput(HttpServerExchange exchange, RequestHead head, byte[] body, Route route, String service,
		Optional<String> workspace, long tableVersion, long arrivedAtMs, RequestCharge charge) {

	long deadlineMs() {
		return this.arrivedAtMs + this.head.remainingMs().orElse(this.route.timeoutMs());
	}

	// The route's timeout applies even if the caller is willing to wait longer.
	long timeoutAtMs() {
		return Math.min(deadlineMs(), this.arrivedAtMs + this.route.timeoutMs());
	}

	RequestSubjects subjects() {
		return new RequestSubjects(this.head.prompt().map(PromptShape::sharedParts).orElseGet(List::of),
				this.workspace.orElse(""), path(), this.body);
	}

	String path() {
		String query = this.exchange.getQueryString();
		String path = this.exchange.getRequestURI();
		return query.isEmpty() ? path : path + "?" + query;
	}

}
