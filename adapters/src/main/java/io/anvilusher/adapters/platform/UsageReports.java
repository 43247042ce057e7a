package io.anvilusher.adapters.platform;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import io.anvilusher.adapters.http.HttpCall;
import io.anvilusher.adapters.http.HttpCaller;
import io.anvilusher.model.request.AnswerHeader;
import io.anvilusher.model.usage.SealedWindow;

/**
 * The platform's interface for usage reports: {@code PUT /usage/windows/LEASE/NUMBER}
 * with the figures of the window.
 */
public final class UsageReports {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final HttpCaller caller;

	private final URI target;

	private final long timeoutMs;

	/**
	 * Creates a client of the interface.
	 * @param caller makes the calls
	 * @param target scheme, host and port of the platform
	 * @param timeoutMs longest time to wait for an answer
	 */
	public UsageReports(HttpCaller caller, URI target, long timeoutMs) {
		this.caller = caller;
		this.target = target;
		this.timeoutMs = timeoutMs;
	}

	/**
	 * Reports a window.
	 * @param window the sealed window
	 * @param fencingToken term under which the report is made
	 * @return whether the platform is known to have taken the report
	 */
	public CompletableFuture<Boolean> report(SealedWindow window, long fencingToken) {
		String path = "/usage/windows/" + window.lease().replace('/', '.') + "/" + window.window();
		List<AnswerHeader> headers = List.of(new AnswerHeader("Fencing-Token", String.valueOf(fencingToken)),
				new AnswerHeader("Idempotency-Key", window.lease() + "/" + window.window()));
		return this.caller.call(new HttpCall("PUT", this.target, path, headers, body(window), false), this.timeoutMs)
			.handle((answer, failure) -> failure == null && answer.isSuccess());
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
