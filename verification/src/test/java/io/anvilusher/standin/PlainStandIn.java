package io.anvilusher.standin;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.BlockingHandler;

/**
 * Stands in for a plain service with availability checks and bookings. Each execution of
 * a booking is appended to a file before the response is sent, so that bookings that ran
 * twice can be counted after any crash.
 */
public final class PlainStandIn implements AutoCloseable {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final Undertow undertow;

	private final Path executions;

	private final AtomicLong lastBooking = new AtomicLong();

	private volatile long delayMs;

	private PlainStandIn(int port, Path executions, long delayMs) {
		this.executions = executions;
		this.delayMs = delayMs;
		this.undertow = StandInServer.start(port, 300, new BlockingHandler(this::handle));
	}

	public static PlainStandIn start(int port, Path executions, long delayMs) {
		return new PlainStandIn(port, executions, delayMs);
	}

	public static void main(String[] args) {
		StandInServer.announce(start(Integer.parseInt(args[0]), Path.of(args[1]), Long.parseLong(args[2])).undertow);
	}

	public int port() {
		return StandInServer.port(this.undertow);
	}

	private void handle(HttpServerExchange exchange) throws Exception {
		String body = new String(exchange.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
		switch (exchange.getRequestPath()) {
			case "/health" -> StandInServer.sendJson(exchange, 200, "{}");
			case "/availability" -> {
				TimeUnit.MILLISECONDS.sleep(this.delayMs);
				StandInServer.sendJson(exchange, 200,
						"{\"available\":true,\"slot\":\"" + StandInServer.query(exchange, "slot", "") + "\"}");
			}
			case "/bookings" -> book(exchange, body);
			case "/control/fault" -> {
				this.delayMs = MAPPER.readTree(body).path("delay_ms").asLong(this.delayMs);
				StandInServer.sendJson(exchange, 200, "{}");
			}
			case "/large" -> large(exchange, Integer.parseInt(StandInServer.query(exchange, "bytes", "1000000")));
			default -> StandInServer.sendJson(exchange, 404, "{}");
		}
	}

	private void book(HttpServerExchange exchange, String body) throws Exception {
		String family = MAPPER.readTree(body).path("family").asText();
		recordExecution(family);
		TimeUnit.MILLISECONDS.sleep(this.delayMs);
		StandInServer.sendJson(exchange, 201,
				"{\"booking\":" + this.lastBooking.incrementAndGet() + ",\"family\":\"" + family + "\"}");
	}

	private synchronized void recordExecution(String family) throws IOException {
		Files.writeString(this.executions, family + "\n", StandardOpenOption.CREATE, StandardOpenOption.APPEND);
	}

	private static void large(HttpServerExchange exchange, int bytes) throws IOException {
		exchange.setResponseContentLength(bytes);
		byte[] part = new byte[8192];
		Arrays.fill(part, (byte) 'x');
		for (int left = bytes; left > 0; left -= part.length) {
			exchange.getOutputStream().write(part, 0, Math.min(left, part.length));
		}
	}

	@Override
	public void close() {
		this.undertow.stop();
	}

}
