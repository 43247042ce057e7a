package io.anvilusher.adapters.metrics;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;

import io.anvilusher.adapters.http.ServerStart;

/**
 * Serves {@code /livez}, {@code /readyz}, {@code /metrics} and {@code /status} of a
 * process.
 */
public final class AdminServer implements AutoCloseable {

	private static final int SERVICE_UNAVAILABLE = 503;

	private static final int NOT_FOUND = 404;

	private final Undertow undertow;

	private AdminServer(Undertow undertow) {
		this.undertow = undertow;
	}

	/**
	 * Starts the server.
	 * @param address address to listen on; port 0 selects a free port
	 * @param meters meters served by {@code /metrics}
	 * @param ready returns whether the process accepts work
	 * @param status returns the status of the process as JSON
	 * @return the running server
	 * @throws UncheckedIOException if the server cannot listen at the address
	 */
	public static AdminServer start(InetSocketAddress address, Meters meters, BooleanSupplier ready,
			Supplier<String> status) {
		try {
			return new AdminServer(
					ServerStart.whenAddressIsFree(() -> build(address, meters, ready, status), address, 0));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static Undertow build(InetSocketAddress address, Meters meters, BooleanSupplier ready,
			Supplier<String> status) {
		return Undertow.builder()
			.addHttpListener(address.getPort(), address.getAddress().getHostAddress())
			.setIoThreads(1)
			.setWorkerThreads(1)
			.setHandler((exchange) -> handle(exchange, meters, ready, status))
			.build();
	}

	private static void handle(HttpServerExchange exchange, Meters meters, BooleanSupplier ready,
			Supplier<String> status) {
		switch (exchange.getRequestPath()) {
			case "/livez" -> respond(exchange, "text/plain", "ok\n");
			case "/readyz" -> {
				exchange.setStatusCode(ready.getAsBoolean() ? exchange.getStatusCode() : SERVICE_UNAVAILABLE);
				respond(exchange, "text/plain", ready.getAsBoolean() ? "ready\n" : "not ready\n");
			}
			case "/metrics" -> respond(exchange, "text/plain; version=0.0.4", meters.scrape());
			case "/status" -> respond(exchange, "application/json", status.get());
			default -> exchange.setStatusCode(NOT_FOUND).endExchange();
		}
	}

	private static void respond(HttpServerExchange exchange, String type, String body) {
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, type);
		exchange.getResponseSender().send(ByteBuffer.wrap(body.getBytes(StandardCharsets.UTF_8)));
	}

	/**
	 * Returns the port that the server listens on.
	 * @return the port
	 */
	public int port() {
		return ((InetSocketAddress) this.undertow.getListenerInfo().get(0).getAddress()).getPort();
	}

	@Override
	public void close() {
		this.undertow.stop();
	}

}
