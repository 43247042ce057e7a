package io.anvilusher.model.routing;

import java.util.List;

/**
 * A route.
 *
 * @param name name of the route
 * @param host value of the Host header that selects the route
 * @param pathPrefix beginning of the paths, with a slash at both ends
 * @param kind what may be repeated
 * @param timeoutMs longest time that a request may be kept waiting
 * @param targetMs latency objective: of the whole answer, or of a stream's first event
 * @param priority rank; 0 is the most urgent
 * @param split the services that share the route
 * @param maxAttempts most servers that one request may be sent to
 * @param openToAll whether requests need no key
 * @param carriesPrompt whether requests say which prompt they carry
 * @param resumable whether a cut stream may be continued by another server
 */
public record Route(String name, String host, String pathPrefix, RouteKind kind, long timeoutMs, long targetMs,
		int priority, List<WeightedService> split, int maxAttempts, boolean openToAll, boolean carriesPrompt,
		boolean resumable) {

	public Route {
		split = List.copyOf(split);
		if (split.isEmpty()) {
			throw new IllegalArgumentException("route \"" + name + "\" leads to no service");
		}
		if (!pathPrefix.startsWith("/") || !pathPrefix.endsWith("/")) {
			throw new IllegalArgumentException("path prefix \"" + pathPrefix + "\" lacks a slash at its ends");
		}
	}

	/**
	 * Tells whether a request may be sent again when it is unknown whether it ran.
	 * @return whether it may
	 */
	public boolean isRepeatable() {
		return this.kind == RouteKind.IDEMPOTENT || (this.kind == RouteKind.EVENT_STREAM && this.resumable);
	}

	/**
	 * Tells whether answers are streams of events.
	 * @return whether they are
	 */
	public boolean isStream() {
		return this.kind == RouteKind.EVENT_STREAM;
	}

}
