package io.anvilusher.standin;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.BlockingHandler;

/**
 * Stands in for the platform: an append-only log with offsets, retention and a rate
 * limit, the list of VMs, and the interfaces that order backend servers and accept usage
 * reports. Tests set faults at {@code POST /control/fault}.
 */
public final class PlatformStandIn implements AutoCloseable {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final int MAX_READ = 500;

	private static final long WEIGHTS_INTERVAL_NANOS = 200_000_000;

	private final Undertow undertow;

	private final List<String> records = new ArrayList<>();

	private final List<ObjectNode> calls = new ArrayList<>();

	private long earliest = 1;

	private JsonNode vms = MAPPER.createArrayNode();

	private long weightsReadNanos = System.nanoTime() - WEIGHTS_INTERVAL_NANOS;

	private boolean logDown;

	private boolean vmListDown;

	private int appendResponsesToLose;

	private int callResponsesToLose;

	private long logDelayMs;

	private int maxAppendsPerSecond = Integer.MAX_VALUE;

	private long secondStartedNanos = System.nanoTime();

	private int appendsThisSecond;

	private PlatformStandIn(int port) {
		this.undertow = StandInServer.start(port, 700, new BlockingHandler(this::handle));
	}

	public static PlatformStandIn start(int port) {
		return new PlatformStandIn(port);
	}

	public static void main(String[] args) {
		StandInServer.announce(start(0).undertow);
	}

	public int port() {
		return StandInServer.port(this.undertow);
	}

	private void handle(HttpServerExchange exchange) throws Exception {
		String path = exchange.getRequestPath();
		String method = exchange.getRequestMethod().toString();
		String body = new String(exchange.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
		if (path.equals("/log/control/records")) {
			handleLog(exchange, method, body);
		}
		else if (path.equals("/vms")) {
			StandInServer.sendJson(exchange, this.vmListDown ? 503 : 200, "{\"vms\":" + vmsJson() + "}");
		}
		else if (path.startsWith("/servers/") || path.startsWith("/usage/")) {
			handleCall(exchange, method, path, body);
		}
		else if (path.startsWith("/weights/")) {
			handleWeights(exchange);
		}
		else if (path.startsWith("/control/")) {
			handleControl(exchange, path, body);
		}
		else {
			StandInServer.sendJson(exchange, 404, "{}");
		}
	}

	private synchronized String vmsJson() {
		return this.vms.toString();
	}

	private void handleLog(HttpServerExchange exchange, String method, String body) throws Exception {
		if (this.logDelayMs > 0) {
			TimeUnit.MILLISECONDS.sleep(this.logDelayMs);
		}
		if (this.logDown) {
			StandInServer.sendJson(exchange, 503, "{}");
			return;
		}
		if (method.equals("POST")) {
			append(exchange, body);
			return;
		}
		long from = Long.parseLong(StandInServer.query(exchange, "from", "1"));
		long waitMs = Long.parseLong(StandInServer.query(exchange, "wait_ms", "0"));
		StandInServer.sendJson(exchange, 200, read(from, waitMs));
	}

	private void append(HttpServerExchange exchange, String body) throws IOException {
		long offset;
		boolean loseResponse;
		synchronized (this) {
			if (System.nanoTime() - this.secondStartedNanos > 1_000_000_000L) {
				this.secondStartedNanos = System.nanoTime();
				this.appendsThisSecond = 0;
			}
			if (++this.appendsThisSecond > this.maxAppendsPerSecond) {
				StandInServer.sendJson(exchange, 429, "{}");
				return;
			}
			this.records.add(body);
			offset = this.records.size();
			loseResponse = this.appendResponsesToLose > 0;
			this.appendResponsesToLose = Math.max(0, this.appendResponsesToLose - 1);
			notifyAll();
		}
		if (loseResponse) {
			exchange.getConnection().close();
			return;
		}
		StandInServer.sendJson(exchange, 200, "{\"offset\":" + offset + "}");
	}

	private synchronized String read(long from, long waitMs) throws InterruptedException {
		long untilNanos = System.nanoTime() + waitMs * 1_000_000;
		while (this.records.size() < from && !this.logDown) {
			long leftMs = (untilNanos - System.nanoTime()) / 1_000_000;
			if (leftMs <= 0) {
				break;
			}
			wait(leftMs);
		}
		ObjectNode root = MAPPER.createObjectNode();
		root.put("earliest", this.earliest);
		root.put("end", this.records.size());
		ArrayNode list = root.putArray("records");
		long first = Math.max(from, this.earliest);
		for (long offset = first; offset <= this.records.size() && offset < first + MAX_READ; offset++) {
			list.addObject().put("offset", offset).put("data", this.records.get((int) offset - 1));
		}
		return root.toString();
	}

	/**
	 * Lets one reader of the weight store start in each interval and rejects the others
	 * with 429.
	 */
	private synchronized void handleWeights(HttpServerExchange exchange) {
		boolean limited = System.nanoTime() - this.weightsReadNanos < WEIGHTS_INTERVAL_NANOS;
		if (!limited) {
			this.weightsReadNanos = System.nanoTime();
		}
		StandInServer.sendJson(exchange, limited ? 429 : 200, "{}");
	}

	private void handleCall(HttpServerExchange exchange, String method, String path, String body) throws IOException {
		ObjectNode call = MAPPER.createObjectNode();
		call.put("method", method).put("path", path).put("body", body);
		exchange.getRequestHeaders()
			.forEach((values) -> call.put(values.getHeaderName().toString().toLowerCase(Locale.ROOT),
					values.getFirst()));
		boolean loseResponse;
		synchronized (this) {
			this.calls.add(call);
			loseResponse = this.callResponsesToLose > 0;
			this.callResponsesToLose = Math.max(0, this.callResponsesToLose - 1);
		}
		if (loseResponse) {
			exchange.getConnection().close();
			return;
		}
		StandInServer.sendJson(exchange, 200, "{}");
	}

	private synchronized void handleControl(HttpServerExchange exchange, String path, String body) throws IOException {
		switch (path) {
			case "/control/vms" -> setVms(body);
			case "/control/fault" -> setFault(MAPPER.readTree(body));
			case "/control/calls" -> {
				StandInServer.sendJson(exchange, 200, MAPPER.writeValueAsString(this.calls));
				return;
			}
			default -> {
				StandInServer.sendJson(exchange, 404, "{}");
				return;
			}
		}
		StandInServer.sendJson(exchange, 200, "{}");
	}

	private void setVms(String body) throws IOException {
		this.vms = MAPPER.readTree(body);
	}

	private void setFault(JsonNode fault) {
		this.logDown = fault.path("log_down").asBoolean(this.logDown);
		this.vmListDown = fault.path("vm_list_down").asBoolean(this.vmListDown);
		this.appendResponsesToLose = fault.path("lose_append_answers").asInt(this.appendResponsesToLose);
		this.callResponsesToLose = fault.path("lose_call_answers").asInt(this.callResponsesToLose);
		this.logDelayMs = fault.path("slow_ms").asLong(this.logDelayMs);
		this.maxAppendsPerSecond = fault.path("max_appends_per_second").asInt(this.maxAppendsPerSecond);
		this.earliest = fault.path("earliest").asLong(this.earliest);
		notifyAll();
	}

	@Override
	public void close() {
		this.undertow.stop();
	}

}
