package io.anvilusher.sidecar.order;

import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

import io.anvilusher.adapters.http.BufferingHttpClient;
import io.anvilusher.adapters.http.HttpCall;
import io.anvilusher.adapters.http.HttpCallResponse;
import io.anvilusher.model.order.EngineOrder;

/**
 * Client for the order interface of an engine. {@code POST /admin/orders} executes an
 * order and responds when it is done; {@code GET /admin/state} returns the id of the
 * newest order and whether it is still being executed.
 */
public final class EngineClient {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final long ORDER_TIMEOUT_MS = 120_000;

	private static final long STATE_TIMEOUT_MS = 2000;

	private static final int CONFLICT = 409;

	private final BufferingHttpClient httpClient;

	private final URI engine;

	/**
	 * Creates a client for one engine.
	 * @param httpClient sends the HTTP requests
	 * @param engine scheme, host and port of the engine
	 */
	public EngineClient(BufferingHttpClient httpClient, URI engine) {
		this.httpClient = httpClient;
		this.engine = engine;
	}

	/**
	 * Sends an order to the engine.
	 * @param order the order
	 * @return response of the engine; never completes exceptionally
	 */
	CompletableFuture<OrderResponse> sendOrder(EngineOrder order) {
		ObjectNode body = MAPPER.createObjectNode();
		body.put("order_id", order.orderId()).put("fencing_token", order.fencingToken());
		body.putObject("target")
			.put("role", order.target().role())
			.put("model", order.target().model())
			.put("adapter", order.target().adapter())
			.put("version", order.target().version());
		HttpCall call = HttpCall.of("POST", this.engine, "/admin/orders",
				body.toString().getBytes(StandardCharsets.UTF_8));
		return this.httpClient.call(call, ORDER_TIMEOUT_MS)
			.handle((response, failure) -> (failure != null) ? OrderResponse.NONE : orderResponse(response));
	}

	private static OrderResponse orderResponse(HttpCallResponse response) {
		if (response.isSuccess()) {
			return OrderResponse.DONE;
		}
		return (response.status() == CONFLICT) ? OrderResponse.REFUSED : OrderResponse.NONE;
	}

	/**
	 * Reads the state of the engine.
	 * @return the state, or empty if there is no valid response; never completes
	 * exceptionally
	 */
	CompletableFuture<Optional<State>> readState() {
		return this.httpClient.call(HttpCall.of("GET", this.engine, "/admin/state", new byte[0]), STATE_TIMEOUT_MS)
			.handle((response, failure) -> (failure != null) ? Optional.empty() : parseState(response));
	}

	private static Optional<State> parseState(HttpCallResponse response) {
		if (!response.isSuccess()) {
			return Optional.empty();
		}
		try {
			JsonNode node = MAPPER.readTree(response.body());
			return Optional.of(new State(node.path("changing").asBoolean(), node.path("order").asText()));
		}
		catch (IOException ex) {
			return Optional.empty();
		}
	}

	/**
	 * Response of the engine to an order.
	 */
	enum OrderResponse {

		/** The engine has executed the order. */
		DONE,

		/** The engine refuses the order. */
		REFUSED,

		/** No conclusive response; the state of the engine has to be read. */
		NONE

	}

	/**
	 * State of the engine.
	 *
	 * @param changing whether the engine is executing an order
	 * @param orderId id of the newest order
	 */
	record State(boolean changing, String orderId) {

	}

}
