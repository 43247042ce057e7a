package io.anvilusher.entry.http;

/**
 * One step in handling a request. A filter either passes the request to the rest of the
 * chain, possibly asynchronously, or refuses it.
 */
@FunctionalInterface
public interface RequestFilter {

	/**
	 * Checks a request or adds to it, and passes it on or refuses it.
	 * @param exchange the request
	 * @param chain the remaining filters
	 */
	void filter(CallerExchange exchange, FilterChain chain);

}
