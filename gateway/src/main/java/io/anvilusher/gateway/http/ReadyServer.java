package io.anvilusher.gateway.http;

import java.net.InetSocketAddress;
import java.util.function.BooleanSupplier;

import io.undertow.Undertow;
import org.xnio.XnioWorker;

/**
 * Tells the balancer whether this gateway takes new connections.
 */
public final class ReadyServer {

	private static final int READY = 200;

	private static final int NOT_READY = 503;

	private static final int NOT_FOUND = 404;

	private ReadyServer() {
	}

	/**
	 * Starts to answer.
	 * @param address where to listen
	 * @param path path of the question
	 * @param worker the threads
	 * @param ready tells whether the gateway takes new connections
	 */
	public static void start(InetSocketAddress address, String path, XnioWorker worker, BooleanSupplier ready) {
		Undertow.builder()
			.addHttpListener(address.getPort(), address.getAddress().getHostAddress())
			.setWorker(worker)
			.setHandler((exchange) -> {
				int status = ready.getAsBoolean() ? READY : NOT_READY;
				exchange.setStatusCode(exchange.getRequestPath().equals(path) ? status : NOT_FOUND);
				exchange.endExchange();
			})
			.build()
			.start();
	}

}
