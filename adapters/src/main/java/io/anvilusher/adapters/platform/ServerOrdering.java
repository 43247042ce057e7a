package io.anvilusher.adapters.platform;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

import io.anvilusher.adapters.http.HttpCall;
import io.anvilusher.adapters.http.HttpCaller;
import io.anvilusher.model.request.AnswerHeader;
import io.anvilusher.model.scale.ScaleIntent;
import io.anvilusher.model.scale.ScaleKind;

/**
 * The platform's interface for ordering backend servers: {@code POST /servers/orders} and
 * {@code POST /servers/releases}. The idempotency key of a call is the id of its intent.
 */
public final class ServerOrdering {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final int FIRST_CLIENT_ERROR = 400;

	private static final int FIRST_SERVER_ERROR = 500;

	private static final int TOO_MANY_REQUESTS = 429;

	private final HttpCaller caller;

	private final URI target;

	private final long timeoutMs;

	/**
	 * Creates a client of the interface.
	 * @param caller makes the calls
	 * @param target scheme, host and port of the platform
	 * @param timeoutMs longest time to wait for an answer
	 */
	public ServerOrdering(HttpCaller caller, URI target, long timeoutMs) {
		this.caller = caller;
		this.target = target;
		this.timeoutMs = timeoutMs;
	}

	/**
	 * Orders or releases a backend server.
	 * @param intent the intent
	 * @param fencingToken term under which the call is made
	 * @return what the platform answered; never fails exceptionally
	 */
	public CompletableFuture<Answer> call(ScaleIntent intent, long fencingToken) {
		ObjectNode body = MAPPER.createObjectNode();
		body.put("data_centre", intent.change().dataCentre()).put("service", intent.change().service());
		boolean release = intent.change().kind() == ScaleKind.RELEASE;
		if (release) {
			body.put("vm", intent.change().server());
		}
		List<AnswerHeader> headers = List.of(new AnswerHeader("Fencing-Token", String.valueOf(fencingToken)),
				new AnswerHeader("Idempotency-Key", intent.scaleId()));
		HttpCall call = new HttpCall("POST", this.target, release ? "/servers/releases" : "/servers/orders", headers,
				body.toString().getBytes(StandardCharsets.UTF_8), false);
		return this.caller.call(call, this.timeoutMs)
			.handle((answer, failure) -> (failure != null) ? Answer.NONE : answer(answer.status()));
	}

	private static Answer answer(int status) {
		if (status >= FIRST_SERVER_ERROR || status == TOO_MANY_REQUESTS) {
			return Answer.NONE;
		}
		return (status < FIRST_CLIENT_ERROR) ? Answer.ACCEPTED : Answer.REFUSED;
	}

	/**
	 * What the platform answered.
	 */
	public enum Answer {

		/** It took the order. */
		ACCEPTED,

		/** It refused the order. */
		REFUSED,

		/** There is no answer; the order is to be sent again under the same id. */
		NONE

	}

}
