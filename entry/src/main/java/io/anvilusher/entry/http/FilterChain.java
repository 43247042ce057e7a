package io.anvilusher.entry.http;

import java.util.List;

/**
 * The filters that a request has not passed yet.
 */
public final class FilterChain {

	private final List<RequestFilter> filters;

	private final int position;

	/**
	 * Creates a chain.
	 * @param filters the filters in the order in which a request passes them; the last
	 * one must not call {@link #next}
	 */
	public FilterChain(List<RequestFilter> filters) {
		this(List.copyOf(filters), 0);
	}

	private FilterChain(List<RequestFilter> filters, int position) {
		this.filters = filters;
		this.position = position;
	}

	/**
	 * Passes a request to the next filter.
	 * @param exchange the request
	 */
	public void next(CallerExchange exchange) {
		this.filters.get(this.position).filter(exchange, new FilterChain(this.filters, this.position + 1));
	}

}
