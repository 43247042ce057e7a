package io.anvilusher.adapters.metrics;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

import io.anvilusher.adapters.http.HttpListener;
import io.anvilusher.adapters.http.HttpListener.ListenerOptions;
import io.anvilusher.adapters.http.ListenerLimits;
import io.anvilusher.adapters.http.ServerStart;

/**
 * Serves {@code /livez}, {@code /readyz}, {@code /metrics} and {@code /status} of a
 * process.
 */
public final class AdminServer implements AutoCloseable {

	private static final int SERVICE_UNAVAILABLE = 503;

	private static final int NOT_FOUND = 404;

	private final HttpListener listener;

	private final XnioWorker worker;

	private AdminServer(HttpListener listener, XnioWorker worker) {
		this.listener = listener;
		this.worker = worker;
	}

	/**
	 * Starts the server.
	 * @param address address to listen on; port 0 selects a free port
	 * @param limits limits on the clients
	 * @param meters meters served by {@code /metrics}
	 * @param ready returns whether the process accepts work
	 * @param status returns the status of the process as JSON
	 * @return the running server
	 * @throws UncheckedIOException if the server cannot listen at the address
	 */
	public static AdminServer start(InetSocketAddress address, ListenerLimits limits, Meters meters,
			BooleanSupplier ready, Supplier<String> status) {
		XnioWorker worker = createWorker();
		try {
			return new AdminServer(ServerStart.whenAddressIsFree(() -> HttpListener.start(address, worker, limits,
					ListenerOptions.NONE, meters, (exchange) -> handle(exchange, meters, ready, status)), address, 0),
					worker);
		}
		catch (IOException ex) {
			worker.shutdown();
			throw new UncheckedIOException(ex);
		}
	}

	private static XnioWorker createWorker() {
		try {
			return Xnio.getInstance()
				.createWorker(OptionMap.builder()
					.set(Options.WORKER_IO_THREADS, 1)
					.set(Options.WORKER_NAME, "admin")
					.set(Options.WORKER_TASK_CORE_THREADS, 1)
					.set(Options.WORKER_TASK_MAX_THREADS, 1)
					.set(Options.TCP_NODELAY, true)
					.set(Options.THREAD_DAEMON, true)
					.getMap());
		}
		catch (IOException ex) {
			throw new UncheckedIOException("Cannot start the thread of the metrics", ex);
		}
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
		return this.listener.port();
	}

	@Override
	public void close() {
		this.listener.close();
		this.worker.shutdown();
	}

}
