package io.anvilusher.entry.http;

/**
 * One check or step on a request's way. A filter either passes the request on, now or
 * later, or refuses it.
 */
@FunctionalInterface
public interface RequestFilter {

	/**
	 * Handles a request.
	 * @param exchange the request
	 * @param chain passes it on
	 */
	void filter(CallerExchange exchange, FilterChain chain);

}
