package io.anvilusher.adapters.platform;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import io.anvilusher.adapters.http.BufferingHttpClient;
import io.anvilusher.adapters.http.HttpCall;
import io.anvilusher.model.request.HttpHeader;
import io.anvilusher.model.usage.SealedWindow;

/**
 * Client of the platform's interface for usage reports:
 * {@code PUT /usage/windows/LEASE/NUMBER} with the usage of one window. The slashes in
 * the name of the lease are sent as dots.
 */
public final class UsageReports {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final BufferingHttpClient httpClient;

	private final URI target;

	private final long timeoutMs;

	/**
	 * Creates a client of the interface.
	 * @param httpClient client that makes the HTTP calls
	 * @param target scheme, host and port of the platform
	 * @param timeoutMs maximum time to wait for a response, in ms
	 */
	public UsageReports(BufferingHttpClient httpClient, URI target, long timeoutMs) {
		this.httpClient = httpClient;
		this.target = target;
		this.timeoutMs = timeoutMs;
	}

	/**
	 * Reports the usage of a window. A repeated report carries the same idempotency key.
	 * @param window the sealed window
	 * @param fencingToken term of the lease under which the report is made
	 * @return whether the platform confirmed the report; never completes exceptionally
	 */
	public CompletableFuture<Boolean> report(SealedWindow window, long fencingToken) {
		String path = "/usage/windows/" + window.lease().replace('/', '.') + "/" + window.window();
		List<HttpHeader> headers = List.of(new HttpHeader("Fencing-Token", String.valueOf(fencingToken)),
				new HttpHeader("Idempotency-Key", window.lease() + "/" + window.window()));
		return this.httpClient
			.call(new HttpCall("PUT", this.target, path, headers, body(window), false), this.timeoutMs)
			.handle((response, failure) -> failure == null && response.isSuccess());
	}

	private static byte[] body(SealedWindow window) {
		ObjectNode root = MAPPER.createObjectNode();
		root.put("window", window.window());
		ArrayNode lines = root.putArray("usage");
		window.lines()
			.forEach((line) -> lines.addObject()
				.put("workspace", line.workspace())
				.put("service", line.service())
				.put("requests", line.requests())
				.put("prompt_tokens", line.promptTokens())
				.put("output_tokens", line.outputTokens()));
		return root.toString().getBytes(StandardCharsets.UTF_8);
	}

}
