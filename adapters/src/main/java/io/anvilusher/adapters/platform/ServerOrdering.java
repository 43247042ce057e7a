package io.anvilusher.adapters.platform;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

import io.anvilusher.adapters.http.BufferingHttpClient;
import io.anvilusher.adapters.http.HttpCall;
import io.anvilusher.model.request.HttpHeader;
import io.anvilusher.model.scale.ScaleIntent;
import io.anvilusher.model.scale.ScaleKind;

/**
 * Client of the platform's interface for ordering and releasing backend servers:
 * {@code POST /servers/orders} and {@code POST /servers/releases}. The scale id of an
 * intent is sent as the idempotency key, so that a request can safely be sent again.
 */
public final class ServerOrdering {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final int FIRST_CLIENT_ERROR = 400;

	private static final int FIRST_SERVER_ERROR = 500;

	private static final int TOO_MANY_REQUESTS = 429;

	private final BufferingHttpClient httpClient;

	private final URI target;

	private final long timeoutMs;

	/**
	 * Creates a client of the interface.
	 * @param httpClient client that makes the HTTP calls
	 * @param target scheme, host and port of the platform
	 * @param timeoutMs maximum time to wait for a response, in ms
	 */
	public ServerOrdering(BufferingHttpClient httpClient, URI target, long timeoutMs) {
		this.httpClient = httpClient;
		this.target = target;
		this.timeoutMs = timeoutMs;
	}

	/**
	 * Orders or releases a backend server.
	 * @param intent the change to make
	 * @param fencingToken term of the lease under which the call is made
	 * @return result of the call; never completes exceptionally
	 */
	public CompletableFuture<Result> call(ScaleIntent intent, long fencingToken) {
		ObjectNode body = MAPPER.createObjectNode();
		body.put("data_centre", intent.change().dataCentre()).put("service", intent.change().service());
		boolean release = intent.change().kind() == ScaleKind.RELEASE;
		if (release) {
			body.put("vm", intent.change().server());
		}
		List<HttpHeader> headers = List.of(new HttpHeader("Fencing-Token", String.valueOf(fencingToken)),
				new HttpHeader("Idempotency-Key", intent.scaleId()));
		HttpCall call = new HttpCall("POST", this.target, release ? "/servers/releases" : "/servers/orders", headers,
				body.toString().getBytes(StandardCharsets.UTF_8), false);
		return this.httpClient.call(call, this.timeoutMs)
			.handle((response, failure) -> (failure != null) ? Result.INCONCLUSIVE : classify(response.status()));
	}

	private static Result classify(int status) {
		if (status >= FIRST_SERVER_ERROR || status == TOO_MANY_REQUESTS) {
			return Result.INCONCLUSIVE;
		}
		return (status < FIRST_CLIENT_ERROR) ? Result.ACCEPTED : Result.REFUSED;
	}

	/**
	 * Result of a call.
	 */
	public enum Result {

		/** The platform accepted the order or release. */
		ACCEPTED,

		/** The platform refused the order or release. */
		REFUSED,

		/**
		 * There was no conclusive response: a timeout, an error of the platform or a rate
		 * limit. The call must be made again under the same id.
		 */
		INCONCLUSIVE

	}

}
