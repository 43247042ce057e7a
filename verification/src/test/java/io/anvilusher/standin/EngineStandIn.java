package io.anvilusher.standin;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/**
 * Stands in for a model engine with an OpenAI-compatible interface: streams tokens, reads
 * prompts faster when it has seen their beginning, takes orders with or without checking
 * fencing tokens, and crashes when a prompt holds {@code crash-the-engine}.
 */
public final class EngineStandIn implements AutoCloseable {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final int CACHE_ENTRIES = 64;

	private static final int MAX_BATCH = 2048;

	private final Undertow undertow;

	private final boolean fences;

	private final long decodeMs;

	private final double prefillMsPerToken;

	private final Map<String, Boolean> prefixCache = new LinkedHashMap<>(16, 0.75f, true) {

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
			return size() > CACHE_ENTRIES;
		}

	};

	private final List<String> seen = new ArrayList<>();

	private final List<ObjectNode> orders = new ArrayList<>();

	private final PriorityQueue<Generation> waiting = new PriorityQueue<>(
			Comparator.comparingInt((Generation generation) -> -generation.priority));

	private boolean recording;

	private long highestToken;

	private long changeMs = 200;

	private long busyUntilNanos;

	private JsonNode target = MAPPER.createObjectNode();

	private String runningOrder = "";

	private int running;

	private int cutAfterTokens = Integer.MAX_VALUE;

	private boolean crashInChange;

	private EngineStandIn(int port, boolean fences, long decodeMs, double prefillMsPerToken) {
		this.fences = fences;
		this.decodeMs = decodeMs;
		this.prefillMsPerToken = prefillMsPerToken;
		this.undertow = StandInServer.start(port, 4, this::handle);
	}

	public static EngineStandIn start(int port, boolean fences, long decodeMs, double prefillMsPerToken) {
		return new EngineStandIn(port, fences, decodeMs, prefillMsPerToken);
	}

	public static void main(String[] args) {
		StandInServer.announce(start(Integer.parseInt(args[0]), Boolean.parseBoolean(args[1]), Long.parseLong(args[2]),
				Double.parseDouble(args[3])).undertow);
	}

	public int port() {
		return StandInServer.port(this.undertow);
	}

	private void handle(HttpServerExchange exchange) {
		switch (exchange.getRequestPath()) {
			case "/health" -> StandInServer.json(exchange, 200, "{}");
			case "/admin/state" -> StandInServer.json(exchange, 200, state());
			case "/control/seen" -> StandInServer.json(exchange, 200, seenText());
			case "/control/orders" -> StandInServer.json(exchange, 200, ordersText());
			case "/v1/chat/completions" ->
				exchange.getRequestReceiver().receiveFullBytes((read, body) -> chat(read, body));
			case "/admin/orders" -> exchange.getRequestReceiver().receiveFullBytes((read, body) -> order(read, body));
			case "/control/fault" -> exchange.getRequestReceiver().receiveFullBytes((read, body) -> fault(read, body));
			default -> StandInServer.json(exchange, 404, "{}");
		}
	}

	private synchronized String seenText() {
		return MAPPER.valueToTree(this.seen).toString();
	}

	private synchronized String ordersText() {
		return MAPPER.valueToTree(this.orders).toString();
	}

	private synchronized String state() {
		return MAPPER.createObjectNode()
			.put("changing", System.nanoTime() < this.busyUntilNanos)
			.put("order", this.runningOrder)
			.put("running", this.running)
			.set("target", this.target)
			.toString();
	}

	private static JsonNode parse(byte[] body) {
		try {
			return MAPPER.readTree(body);
		}
		catch (IOException ex) {
			return MAPPER.createObjectNode();
		}
	}

	private synchronized void fault(HttpServerExchange exchange, byte[] body) {
		JsonNode fault = parse(body);
		this.cutAfterTokens = fault.path("cut_after_tokens").asInt(this.cutAfterTokens);
		this.changeMs = fault.path("change_ms").asLong(this.changeMs);
		this.recording = fault.path("record").asBoolean(this.recording);
		this.crashInChange = fault.path("crash_in_change").asBoolean(this.crashInChange);
		StandInServer.json(exchange, 200, "{}");
	}

	private synchronized void order(HttpServerExchange exchange, byte[] body) {
		JsonNode order = parse(body);
		long token = order.path("fencing_token").asLong();
		ObjectNode noted = this.orders.isEmpty() ? MAPPER.createObjectNode() : MAPPER.createObjectNode();
		noted.setAll((ObjectNode) order);
		noted.put("while_changing",
				System.nanoTime() < this.busyUntilNanos && !order.path("order_id").asText().equals(this.runningOrder));
		noted.put("at_ms", System.nanoTime() / 1_000_000);
		this.orders.add(noted);
		if (this.fences && token < this.highestToken) {
			StandInServer.json(exchange, 409, "{}");
			return;
		}
		if (this.crashInChange) {
			Runtime.getRuntime().halt(1);
		}
		this.highestToken = Math.max(this.highestToken, token);
		this.runningOrder = order.path("order_id").asText();
		this.target = order.path("target");
		this.busyUntilNanos = System.nanoTime() + this.changeMs * 1_000_000;
		exchange.dispatch();
		exchange.getIoThread()
			.executeAfter(() -> StandInServer.json(exchange, 200, "{}"), this.changeMs, TimeUnit.MILLISECONDS);
	}

	private void chat(HttpServerExchange exchange, byte[] body) {
		String text = new String(body, StandardCharsets.UTF_8);
		if (text.contains("crash-the-engine")) {
			Runtime.getRuntime().halt(1);
		}
		JsonNode request = parse(body);
		long prefillMs = note(exchange, text, request);
		String priority = exchange.getRequestHeaders().getFirst("X-Request-Priority");
		Generation generation = new Generation(exchange, request, prefillMs,
				(priority != null) ? Integer.parseInt(priority) : 0);
		exchange.dispatch();
		admit(generation);
	}

	private void admit(Generation generation) {
		synchronized (this) {
			if (this.running >= MAX_BATCH) {
				this.waiting.add(generation);
				return;
			}
			this.running++;
		}
		generation.schedule();
	}

	private void leaveBatch() {
		Generation next;
		synchronized (this) {
			next = this.waiting.poll();
			this.running -= (next != null) ? 0 : 1;
		}
		if (next != null) {
			next.schedule();
		}
	}

	private synchronized long note(HttpServerExchange exchange, String text, JsonNode request) {
		if (this.recording) {
			StringBuilder all = new StringBuilder(exchange.getRequestURI()).append('?')
				.append(exchange.getQueryString());
			exchange.getRequestHeaders().forEach((values) -> all.append('\n').append(values));
			this.seen.add(all.append('\n').append(text).toString());
		}
		String prompt = request.path("messages").toString();
		boolean cached = this.prefixCache.put(prompt.substring(0, Math.min(256, prompt.length())), true) != null;
		double tokens = prompt.length() / 4.0;
		return (long) (tokens * this.prefillMsPerToken * (cached ? 0.1 : 1));
	}

	@Override
	public void close() {
		this.undertow.stop();
	}

	/** One answer, whose tokens name the request that they belong to. */
	private final class Generation {

		private final HttpServerExchange exchange;

		private final long prefillMs;

		private final int priority;

		private final boolean stream;

		private final int tokens;

		private final String tag;

		private final int promptTokens;

		private final Deque<ByteBuffer> parts = new ArrayDeque<>();

		private int generated;

		private StreamSinkChannel channel;

		Generation(HttpServerExchange exchange, JsonNode request, long prefillMs, int priority) {
			this.exchange = exchange;
			this.prefillMs = prefillMs;
			this.priority = priority;
			this.stream = request.path("stream").asBoolean();
			this.tokens = request.path("max_tokens").asInt(8);
			this.tag = request.path("user").asText("t");
			this.promptTokens = request.path("messages").toString().length() / 4;
		}

		void schedule() {
			this.exchange.getIoThread().executeAfter(this::begin, this.prefillMs, TimeUnit.MILLISECONDS);
		}

		void begin() {
			this.exchange.addExchangeCompleteListener((ended, next) -> {
				leaveBatch();
				next.proceed();
			});
			if (!this.stream) {
				this.exchange.getIoThread()
					.executeAfter(this::answerWhole, EngineStandIn.this.decodeMs * this.tokens, TimeUnit.MILLISECONDS);
				return;
			}
			this.exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
			this.channel = this.exchange.getResponseChannel();
			this.channel.getWriteSetter().set((ready) -> drain());
			next();
		}

		private void answerWhole() {
			StringBuilder content = new StringBuilder();
			for (int i = 0; i < this.tokens; i++) {
				content.append(this.tag).append('-').append(i).append(' ');
			}
			ObjectNode root = MAPPER.createObjectNode();
			root.put("object", "chat.completion");
			root.putArray("choices")
				.addObject()
				.put("finish_reason", "stop")
				.putObject("message")
				.put("role", "assistant")
				.put("content", content.toString());
			root.putObject("usage").put("prompt_tokens", this.promptTokens).put("completion_tokens", this.tokens);
			StandInServer.json(this.exchange, 200, root.toString());
		}

		private void next() {
			if (this.generated >= EngineStandIn.this.cutAfterTokens) {
				IoUtils.safeClose(this.exchange.getConnection());
				return;
			}
			if (this.generated == this.tokens) {
				add("{\"choices\":[],\"usage\":{\"prompt_tokens\":" + this.promptTokens + ",\"completion_tokens\":"
						+ this.tokens + "}}");
				add("[DONE]");
				this.generated++;
				drain();
				return;
			}
			add("{\"choices\":[{\"delta\":{\"content\":\"" + this.tag + "-" + this.generated + " \"}}]}");
			this.generated++;
			drain();
			this.exchange.getIoThread().executeAfter(this::next, EngineStandIn.this.decodeMs, TimeUnit.MILLISECONDS);
		}

		private void add(String event) {
			this.parts.add(ByteBuffer.wrap(("data: " + event + "\n\n").getBytes(StandardCharsets.UTF_8)));
		}

		private void drain() {
			try {
				while (!this.parts.isEmpty()) {
					this.channel.write(this.parts.getFirst());
					if (this.parts.getFirst().hasRemaining()) {
						this.channel.resumeWrites();
						return;
					}
					this.parts.removeFirst();
				}
				if (this.generated > this.tokens) {
					this.channel.shutdownWrites();
				}
				if (!this.channel.flush()) {
					this.channel.resumeWrites();
					return;
				}
				this.channel.suspendWrites();
				if (this.generated > this.tokens) {
					this.exchange.endExchange();
				}
			}
			catch (IOException ex) {
				this.generated = this.tokens + 1;
				IoUtils.safeClose(this.exchange.getConnection());
			}
		}

	}

}
