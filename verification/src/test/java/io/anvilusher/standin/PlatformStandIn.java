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
 * limit, the list of VMs, the ordering of servers and the taking of usage reports. Faults
 * are set at {@code POST /control/fault}.
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

	private int loseAppendAnswers;

	private int loseCallAnswers;

	private long slowMs;

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
			StandInServer.json(exchange, this.vmListDown ? 503 : 200, "{\"vms\":" + vmsText() + "}");
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
			StandInServer.json(exchange, 404, "{}");
		}
	}

	private synchronized String vmsText() {
		return this.vms.toString();
	}

	private void handleLog(HttpServerExchange exchange, String method, String body) throws Exception {
		if (this.slowMs > 0) {
			TimeUnit.MILLISECONDS.sleep(this.slowMs);
		}
		if (this.logDown) {
			StandInServer.json(exchange, 503, "{}");
			return;
		}
		if (method.equals("POST")) {
			append(exchange, body);
			return;
		}
		long from = Long.parseLong(StandInServer.query(exchange, "from", "1"));
		long waitMs = Long.parseLong(StandInServer.query(exchange, "wait_ms", "0"));
		StandInServer.json(exchange, 200, read(from, waitMs));
	}

	private void append(HttpServerExchange exchange, String body) throws IOException {
		long offset;
		boolean lost;
		synchronized (this) {
			if (System.nanoTime() - this.secondStartedNanos > 1_000_000_000L) {
				this.secondStartedNanos = System.nanoTime();
				this.appendsThisSecond = 0;
			}
			if (++this.appendsThisSecond > this.maxAppendsPerSecond) {
				StandInServer.json(exchange, 429, "{}");
				return;
			}
			this.records.add(body);
			offset = this.records.size();
			lost = this.loseAppendAnswers > 0;
			this.loseAppendAnswers = Math.max(0, this.loseAppendAnswers - 1);
			notifyAll();
		}
		if (lost) {
			exchange.getConnection().close();
			return;
		}
		StandInServer.json(exchange, 200, "{\"offset\":" + offset + "}");
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

	/** The weight store lets one reader start in each interval. */
	private synchronized void handleWeights(HttpServerExchange exchange) {
		boolean limited = System.nanoTime() - this.weightsReadNanos < WEIGHTS_INTERVAL_NANOS;
		if (!limited) {
			this.weightsReadNanos = System.nanoTime();
		}
		StandInServer.json(exchange, limited ? 429 : 200, "{}");
	}

	private void handleCall(HttpServerExchange exchange, String method, String path, String body) throws IOException {
		ObjectNode call = MAPPER.createObjectNode();
		call.put("method", method).put("path", path).put("body", body);
		exchange.getRequestHeaders()
			.forEach((values) -> call.put(values.getHeaderName().toString().toLowerCase(Locale.ROOT),
					values.getFirst()));
		boolean lost;
		synchronized (this) {
			this.calls.add(call);
			lost = this.loseCallAnswers > 0;
			this.loseCallAnswers = Math.max(0, this.loseCallAnswers - 1);
		}
		if (lost) {
			exchange.getConnection().close();
			return;
		}
		StandInServer.json(exchange, 200, "{}");
	}

	private synchronized void handleControl(HttpServerExchange exchange, String path, String body) throws IOException {
		switch (path) {
			case "/control/vms" -> setVms(body);
			case "/control/fault" -> setFault(MAPPER.readTree(body));
			case "/control/calls" -> {
				StandInServer.json(exchange, 200, MAPPER.writeValueAsString(this.calls));
				return;
			}
			default -> {
				StandInServer.json(exchange, 404, "{}");
				return;
			}
		}
		StandInServer.json(exchange, 200, "{}");
	}

	private void setVms(String body) throws IOException {
		this.vms = MAPPER.readTree(body);
	}

	private void setFault(JsonNode fault) {
		this.logDown = fault.path("log_down").asBoolean(this.logDown);
		this.vmListDown = fault.path("vm_list_down").asBoolean(this.vmListDown);
		this.loseAppendAnswers = fault.path("lose_append_answers").asInt(this.loseAppendAnswers);
		this.loseCallAnswers = fault.path("lose_call_answers").asInt(this.loseCallAnswers);
		this.slowMs = fault.path("slow_ms").asLong(this.slowMs);
		this.maxAppendsPerSecond = fault.path("max_appends_per_second").asInt(this.maxAppendsPerSecond);
		this.earliest = fault.path("earliest").asLong(this.earliest);
		notifyAll();
	}

	@Override
	public void close() {
		this.undertow.stop();
	}

}
