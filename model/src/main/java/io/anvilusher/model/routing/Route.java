package io.anvilusher.model.routing;

import java.util.List;

/**
 * A rule of the routing table: sends the requests with a given host and path prefix to
 * one or more services.
 *
 * @param name name of the route
 * @param host value of the Host header that selects the route
 * @param pathPrefix prefix of the paths, with a slash at both ends
 * @param kind whether requests may run more than once, and whether responses are streams
 * @param timeoutMs time after the arrival of a request at which it times out, in ms
 * @param targetMs latency target, in ms: up to the complete response, or up to the first
 * event of a stream
 * @param pauseTargetMs longest pause between two events of a stream that is still on
 * time, in ms
 * @param priority priority class of the requests; 0 is the most urgent
 * @param split the services that share the route
 * @param maxAttempts largest number of servers that one request may be sent to
 * @param allowsAnonymous whether requests need no workspace key
 * @param carriesPrompt whether requests carry a description of their prompt
 * @param resumable whether another server may resume an interrupted stream
 */
public record Route(String name, String host, String pathPrefix, RouteKind kind, long timeoutMs, long targetMs,
		long pauseTargetMs, int priority, List<WeightedService> split, int maxAttempts, boolean allowsAnonymous,
		boolean carriesPrompt, boolean resumable) {

	public Route {
		split = List.copyOf(split);
		if (split.isEmpty()) {
			throw new IllegalArgumentException("route \"" + name + "\" has no service to send requests to");
		}
		if (!pathPrefix.startsWith("/") || !pathPrefix.endsWith("/")) {
			throw new IllegalArgumentException("path prefix \"" + pathPrefix + "\" must begin and end with a slash");
		}
	}

	/**
	 * Returns whether a request may be retried when it is unknown whether it ran.
	 * @return whether retries are allowed
	 */
	public boolean isRepeatable() {
		return this.kind == RouteKind.IDEMPOTENT || (this.kind == RouteKind.EVENT_STREAM && this.resumable);
	}

	/**
	 * Returns whether responses are streams of events.
	 * @return whether the route is of kind {@link RouteKind#EVENT_STREAM}
	 */
	public boolean isStream() {
		return this.kind == RouteKind.EVENT_STREAM;
	}

}
