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
 * Stands in for a model engine with an OpenAI-compatible interface. It streams tokens,
 * prefills a prompt in a tenth of the time when a prompt with the same beginning came
 * before, executes orders with or without a check of their fencing tokens, and crashes
 * when a request contains {@code crash-the-engine}.
 */
public final class EngineStandIn implements AutoCloseable {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final int CACHE_ENTRIES = 64;

	private static final int MAX_BATCH_SIZE = 2048;

	private final Undertow undertow;

	private final boolean checksFencingTokens;

	private final long decodeMsPerToken;

	private final double prefillMsPerToken;

	private final Map<String, Boolean> prefixCache = new LinkedHashMap<>(16, 0.75f, true) {

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
			return size() > CACHE_ENTRIES;
		}

	};

	private final List<String> recordedRequests = new ArrayList<>();

	private final List<ObjectNode> orders = new ArrayList<>();

	private final PriorityQueue<Generation> queue = new PriorityQueue<>(
			Comparator.comparingInt((Generation generation) -> -generation.priority));

	private boolean recordRequests;

	private long highestFencingToken;

	private long changeMs = 200;

	private long changeUntilNanos;

	private JsonNode target = MAPPER.createObjectNode();

	private String currentOrderId = "";

	private int running;

	private int cutAfterTokens = Integer.MAX_VALUE;

	private boolean crashDuringChange;

	private EngineStandIn(int port, boolean checksFencingTokens, long decodeMsPerToken, double prefillMsPerToken) {
		this.checksFencingTokens = checksFencingTokens;
		this.decodeMsPerToken = decodeMsPerToken;
		this.prefillMsPerToken = prefillMsPerToken;
		this.undertow = StandInServer.start(port, 4, this::handle);
	}

	public static EngineStandIn start(int port, boolean checksFencingTokens, long decodeMsPerToken,
			double prefillMsPerToken) {
		return new EngineStandIn(port, checksFencingTokens, decodeMsPerToken, prefillMsPerToken);
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
			case "/health" -> StandInServer.sendJson(exchange, 200, "{}");
			case "/admin/state" -> StandInServer.sendJson(exchange, 200, state());
			case "/control/seen" -> StandInServer.sendJson(exchange, 200, recordedRequestsJson());
			case "/control/orders" -> StandInServer.sendJson(exchange, 200, ordersJson());
			case "/v1/chat/completions" ->
				exchange.getRequestReceiver().receiveFullBytes((read, body) -> chat(read, body));
			case "/admin/orders" -> exchange.getRequestReceiver().receiveFullBytes((read, body) -> order(read, body));
			case "/control/fault" -> exchange.getRequestReceiver().receiveFullBytes((read, body) -> fault(read, body));
			default -> StandInServer.sendJson(exchange, 404, "{}");
		}
	}

	private synchronized String recordedRequestsJson() {
		return MAPPER.valueToTree(this.recordedRequests).toString();
	}

	private synchronized String ordersJson() {
		return MAPPER.valueToTree(this.orders).toString();
	}

	private synchronized String state() {
		return MAPPER.createObjectNode()
			.put("changing", System.nanoTime() < this.changeUntilNanos)
			.put("order", this.currentOrderId)
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
		this.recordRequests = fault.path("record").asBoolean(this.recordRequests);
		this.crashDuringChange = fault.path("crash_in_change").asBoolean(this.crashDuringChange);
		StandInServer.sendJson(exchange, 200, "{}");
	}

	private synchronized void order(HttpServerExchange exchange, byte[] body) {
		JsonNode order = parse(body);
		long token = order.path("fencing_token").asLong();
		ObjectNode recordedOrder = this.orders.isEmpty() ? MAPPER.createObjectNode() : MAPPER.createObjectNode();
		recordedOrder.setAll((ObjectNode) order);
		recordedOrder.put("while_changing", System.nanoTime() < this.changeUntilNanos
				&& !order.path("order_id").asText().equals(this.currentOrderId));
		recordedOrder.put("at_ms", System.nanoTime() / 1_000_000);
		this.orders.add(recordedOrder);
		if (this.checksFencingTokens && token < this.highestFencingToken) {
			StandInServer.sendJson(exchange, 409, "{}");
			return;
		}
		if (this.crashDuringChange) {
			Runtime.getRuntime().halt(1);
		}
		this.highestFencingToken = Math.max(this.highestFencingToken, token);
		this.currentOrderId = order.path("order_id").asText();
		this.target = order.path("target");
		this.changeUntilNanos = System.nanoTime() + this.changeMs * 1_000_000;
		exchange.dispatch();
		exchange.getIoThread()
			.executeAfter(() -> StandInServer.sendJson(exchange, 200, "{}"), this.changeMs, TimeUnit.MILLISECONDS);
	}

	private void chat(HttpServerExchange exchange, byte[] body) {
		String text = new String(body, StandardCharsets.UTF_8);
		if (text.contains("crash-the-engine")) {
			Runtime.getRuntime().halt(1);
		}
		JsonNode request = parse(body);
		long prefillMs = recordRequest(exchange, text, request);
		String priority = exchange.getRequestHeaders().getFirst("X-Request-Priority");
		Generation generation = new Generation(exchange, request, prefillMs,
				(priority != null) ? Integer.parseInt(priority) : 0);
		exchange.dispatch();
		admit(generation);
	}

	/** Starts a generation, or queues it by priority while the batch is full. */
	private void admit(Generation generation) {
		synchronized (this) {
			if (this.running >= MAX_BATCH_SIZE) {
				this.queue.add(generation);
				return;
			}
			this.running++;
		}
		generation.schedule();
	}

	private void releaseBatchSlot() {
		Generation next;
		synchronized (this) {
			next = this.queue.poll();
			this.running -= (next != null) ? 0 : 1;
		}
		if (next != null) {
			next.schedule();
		}
	}

	/**
	 * Records a request if recording is on, and returns the time that its prefill takes,
	 * in milliseconds.
	 */
	private synchronized long recordRequest(HttpServerExchange exchange, String text, JsonNode request) {
		if (this.recordRequests) {
			StringBuilder all = new StringBuilder(exchange.getRequestURI()).append('?')
				.append(exchange.getQueryString());
			exchange.getRequestHeaders().forEach((values) -> all.append('\n').append(values));
			this.recordedRequests.add(all.append('\n').append(text).toString());
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

	/**
	 * Generation of one response. Each token contains the tag of its request, so that
	 * tests detect mixed-up responses.
	 */
	private final class Generation {

		private final HttpServerExchange exchange;

		private final long prefillMs;

		private final int priority;

		private final boolean stream;

		private final int tokens;

		private final String tag;

		private final int promptTokens;

		private final Deque<ByteBuffer> pendingWrites = new ArrayDeque<>();

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
				releaseBatchSlot();
				next.proceed();
			});
			if (!this.stream) {
				this.exchange.getIoThread()
					.executeAfter(this::sendUnstreamed, EngineStandIn.this.decodeMsPerToken * this.tokens,
							TimeUnit.MILLISECONDS);
				return;
			}
			this.exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
			this.channel = this.exchange.getResponseChannel();
			this.channel.getWriteSetter().set((ready) -> writePending());
			streamNextToken();
		}

		private void sendUnstreamed() {
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
			StandInServer.sendJson(this.exchange, 200, root.toString());
		}

		private void streamNextToken() {
			if (this.generated >= EngineStandIn.this.cutAfterTokens) {
				IoUtils.safeClose(this.exchange.getConnection());
				return;
			}
			if (this.generated == this.tokens) {
				addEvent("{\"choices\":[],\"usage\":{\"prompt_tokens\":" + this.promptTokens + ",\"completion_tokens\":"
						+ this.tokens + "}}");
				addEvent("[DONE]");
				this.generated++;
				writePending();
				return;
			}
			addEvent("{\"choices\":[{\"delta\":{\"content\":\"" + this.tag + "-" + this.generated + " \"}}]}");
			this.generated++;
			writePending();
			this.exchange.getIoThread()
				.executeAfter(this::streamNextToken, EngineStandIn.this.decodeMsPerToken, TimeUnit.MILLISECONDS);
		}

		private void addEvent(String event) {
			this.pendingWrites.add(ByteBuffer.wrap(("data: " + event + "\n\n").getBytes(StandardCharsets.UTF_8)));
		}

		private void writePending() {
			try {
				while (!this.pendingWrites.isEmpty()) {
					this.channel.write(this.pendingWrites.getFirst());
					if (this.pendingWrites.getFirst().hasRemaining()) {
						this.channel.resumeWrites();
						return;
					}
					this.pendingWrites.removeFirst();
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
