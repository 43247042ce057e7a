package io.anvilusher.adapters.http;

import java.util.concurrent.atomic.AtomicInteger;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;

import io.anvilusher.adapters.metrics.Meters;

/**
 * Counts the requests of callers that are not answered yet. While the process drains,
 * each answer closes its connection, so that callers go elsewhere.
 */
public final class RequestsInHand {

	private final AtomicInteger count = new AtomicInteger();

	private volatile boolean draining;

	/**
	 * Creates the count.
	 * @param meters shows it
	 */
	public RequestsInHand(Meters meters) {
		meters.gauge("anvilusher.requests.in.hand", this.count, AtomicInteger::get);
	}

	/**
	 * Notes a request until its exchange is complete.
	 * @param http the exchange
	 */
	public void add(HttpServerExchange http) {
		this.count.incrementAndGet();
		http.addExchangeCompleteListener((ended, next) -> {
			this.count.decrementAndGet();
			next.proceed();
		});
		if (this.draining) {
			http.setPersistent(false);
			http.getResponseHeaders().put(Headers.CONNECTION, "close");
		}
	}

	/**
	 * Begins to close connections with their answers.
	 */
	public void startDraining() {
		this.draining = true;
	}

	/**
	 * Tells whether the process drains.
	 * @return whether it does
	 */
	public boolean isDraining() {
		return this.draining;
	}

	/**
	 * Returns the number of requests in hand.
	 * @return requests
	 */
	public int count() {
		return this.count.get();
	}

}
