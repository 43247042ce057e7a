package io.anvilusher.gateway.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.BooleanSupplier;

import io.undertow.server.HttpServerExchange;
import org.xnio.XnioWorker;

import io.anvilusher.adapters.http.HttpListener;
import io.anvilusher.adapters.http.HttpListener.ListenerOptions;
import io.anvilusher.adapters.http.ListenerLimits;
import io.anvilusher.adapters.http.ServerStart;
import io.anvilusher.adapters.metrics.Meters;

/**
 * HTTP server for the load balancer's readiness check.
 */
public final class ReadinessServer {

	private static final int READY = 200;

	private static final int NOT_READY = 503;

	private static final int NOT_FOUND = 404;

	private ReadinessServer() {
	}

	/**
	 * Starts the server. It responds with 200 if the gateway is ready and with 503
	 * otherwise.
	 * @param address address to listen at
	 * @param path path of the readiness check
	 * @param worker runs the server's threads
	 * @param ready returns whether the gateway accepts new connections
	 * @param limits limits on the clients
	 * @param meters counts the connections that are closed because of the limits
	 * @param maxWaitMs longest wait for the address if it is still in use, in ms
	 * @throws IOException if the server cannot listen at its address
	 */
	public static void start(InetSocketAddress address, String path, XnioWorker worker, BooleanSupplier ready,
			ListenerLimits limits, Meters meters, long maxWaitMs) throws IOException {
		ServerStart.whenAddressIsFree(() -> HttpListener.start(address, worker, limits, ListenerOptions.NONE, meters,
				(exchange) -> respond(exchange, path, ready)), address, maxWaitMs);
	}

	private static void respond(HttpServerExchange exchange, String path, BooleanSupplier ready) {
		int status = ready.getAsBoolean() ? READY : NOT_READY;
		exchange.setStatusCode(exchange.getRequestPath().equals(path) ? status : NOT_FOUND);
		exchange.endExchange();
	}

}
