package io.anvilusher.adapters.http;

import java.util.concurrent.atomic.AtomicInteger;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;

import io.anvilusher.adapters.metrics.Meters;

/**
 * Counts the active requests of callers. While the process drains, each response to a new
 * request closes its connection, so that callers reconnect to another process.
 */
public final class ActiveRequests {

	private final AtomicInteger count = new AtomicInteger();

	private final AtomicInteger lateCount = new AtomicInteger();

	private volatile boolean draining;

	private volatile boolean late;

	/**
	 * Creates a counter at zero.
	 * @param meters meters in which the number is published as a gauge
	 */
	public ActiveRequests(Meters meters) {
		meters.gauge("anvilusher.requests.in.hand", this.count, AtomicInteger::get);
	}

	/**
	 * Counts a request until its exchange is complete.
	 * @param exchange exchange of the request
	 */
	public void add(HttpServerExchange exchange) {
		boolean isLate = this.late;
		this.count.incrementAndGet();
		if (isLate) {
			this.lateCount.incrementAndGet();
		}
		exchange.addExchangeCompleteListener((ended, next) -> {
			this.count.decrementAndGet();
			if (isLate) {
				this.lateCount.decrementAndGet();
			}
			next.proceed();
		});
		if (this.draining) {
			exchange.setPersistent(false);
			exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
		}
	}

	/**
	 * Starts draining: the connection of each request that arrives from now on is closed
	 * after its response.
	 */
	public void startDraining() {
		this.draining = true;
	}

	/**
	 * Counts the requests that arrive from now on separately.
	 */
	public void startLatePhase() {
		this.late = true;
	}

	/**
	 * Returns whether requests are active that arrived before {@link #startLatePhase()}.
	 * @return whether there is at least one
	 */
	public boolean hasEarlierRequests() {
		return this.count.get() > this.lateCount.get();
	}

	/**
	 * Returns whether the process is draining.
	 * @return whether {@link #startDraining()} was called
	 */
	public boolean isDraining() {
		return this.draining;
	}

	/**
	 * Returns the number of active requests.
	 * @return number of requests whose exchange is not complete
	 */
	public int count() {
		return this.count.get();
	}

}
