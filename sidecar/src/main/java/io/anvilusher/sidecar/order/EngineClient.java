package io.anvilusher.sidecar.order;

import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

import io.anvilusher.adapters.http.HttpAnswer;
import io.anvilusher.adapters.http.HttpCall;
import io.anvilusher.adapters.http.HttpCaller;
import io.anvilusher.model.order.EngineOrder;

/**
 * The engine's interface for orders: {@code POST /admin/orders} carries an order out and
 * answers when it is done; {@code GET /admin/state} tells the newest order and whether it
 * is still being carried out.
 */
public final class EngineClient {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final long ORDER_TIMEOUT_MS = 120_000;

	private static final long STATE_TIMEOUT_MS = 2000;

	private static final int CONFLICT = 409;

	private final HttpCaller caller;

	private final URI engine;

	/**
	 * Creates a client of the interface.
	 * @param caller makes the calls
	 * @param engine scheme, host and port of the engine
	 */
	public EngineClient(HttpCaller caller, URI engine) {
		this.caller = caller;
		this.engine = engine;
	}

	/**
	 * Hands an order to the engine.
	 * @param order the order
	 * @return what the engine answered; never fails exceptionally
	 */
	CompletableFuture<Answer> order(EngineOrder order) {
		ObjectNode body = MAPPER.createObjectNode();
		body.put("order_id", order.orderId()).put("fencing_token", order.fencingToken());
		body.putObject("target")
			.put("role", order.target().role())
			.put("model", order.target().model())
			.put("adapter", order.target().adapter())
			.put("version", order.target().version());
		HttpCall call = HttpCall.of("POST", this.engine, "/admin/orders",
				body.toString().getBytes(StandardCharsets.UTF_8));
		return this.caller.call(call, ORDER_TIMEOUT_MS)
			.handle((answer, failure) -> (failure != null) ? Answer.NONE : answer(answer));
	}

	private static Answer answer(HttpAnswer answer) {
		if (answer.isSuccess()) {
			return Answer.DONE;
		}
		return (answer.status() == CONFLICT) ? Answer.REFUSED : Answer.NONE;
	}

	/**
	 * Asks the engine for its state.
	 * @return the state, or empty if the engine does not answer; never fails
	 * exceptionally
	 */
	CompletableFuture<Optional<State>> state() {
		return this.caller.call(HttpCall.of("GET", this.engine, "/admin/state", new byte[0]), STATE_TIMEOUT_MS)
			.handle((answer, failure) -> (failure != null) ? Optional.empty() : state(answer));
	}

	private static Optional<State> state(HttpAnswer answer) {
		if (!answer.isSuccess()) {
			return Optional.empty();
		}
		try {
			JsonNode node = MAPPER.readTree(answer.body());
			return Optional.of(new State(node.path("changing").asBoolean(), node.path("order").asText()));
		}
		catch (IOException ex) {
			return Optional.empty();
		}
	}

	/**
	 * What the engine answered to an order.
	 */
	enum Answer {

		/** It has carried the order out. */
		DONE,

		/** It refuses the order. */
		REFUSED,

		/** There is no answer; the engine has to be asked. */
		NONE

	}

	/**
	 * The engine's state.
	 *
	 * @param changing whether it is carrying out an order
	 * @param orderId id of its newest order
	 */
	record State(boolean changing, String orderId) {

	}

}
