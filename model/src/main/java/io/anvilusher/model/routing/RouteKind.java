package io.anvilusher.model.routing;

/**
 * Determines whether the requests of a route may run more than once, and whether the
 * responses are streams.
 */
public enum RouteKind {

	/** The requests are idempotent and may run more than once. */
	IDEMPOTENT,

	/** Each request may run at most once. */
	AT_MOST_ONCE,

	/** The responses are streams of events. */
	EVENT_STREAM

}
