package io.anvilusher.model.routing;

/**
 * What may be repeated on a route.
 */
public enum RouteKind {

	/** The request is idempotent and may run more than once. */
	IDEMPOTENT,

	/** The request runs at most once. */
	AT_MOST_ONCE,

	/** The answer is a stream of events. */
	EVENT_STREAM

}
