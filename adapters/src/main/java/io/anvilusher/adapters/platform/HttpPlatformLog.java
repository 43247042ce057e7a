package io.anvilusher.adapters.platform;

import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.StreamSupport;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import io.anvilusher.adapters.http.BufferingHttpClient;
import io.anvilusher.adapters.http.HttpCall;
import io.anvilusher.adapters.http.HttpCallResponse;

/**
 * Accesses the control log over HTTP. {@code POST /log/control/records} appends the body
 * and returns {@code {"offset": n}}; {@code GET /log/control/records?from=n&wait_ms=m}
 * returns {@code earliest}, {@code end} and {@code records}.
 */
public final class HttpPlatformLog implements PlatformLog {

	private static final String PATH = "/log/control/records";

	private static final int TOO_MANY_REQUESTS = 429;

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final BufferingHttpClient httpClient;

	private final URI target;

	private final long timeoutMs;

	/**
	 * Creates a client of the log.
	 * @param httpClient client that makes the HTTP calls
	 * @param target scheme, host and port of the platform
	 * @param timeoutMs maximum time to wait for a response, in ms; for a read it is added
	 * to the time that the log may wait for a record
	 */
	public HttpPlatformLog(BufferingHttpClient httpClient, URI target, long timeoutMs) {
		this.httpClient = httpClient;
		this.target = target;
		this.timeoutMs = timeoutMs;
	}

	@Override
	public CompletableFuture<AppendResult> append(byte[] record) {
		return this.httpClient.call(HttpCall.of("POST", this.target, PATH, record), this.timeoutMs)
			.handle((response, failure) -> (failure != null) ? new AppendResult.Unconfirmed(failure.toString())
					: toAppendResult(response));
	}

	private static AppendResult toAppendResult(HttpCallResponse response) {
		if (response.status() == TOO_MANY_REQUESTS) {
			return new AppendResult.RateLimited();
		}
		if (!response.isSuccess()) {
			return new AppendResult.Unconfirmed("HTTP status " + response.status());
		}
		try {
			JsonNode offset = MAPPER.readTree(response.body()).path("offset");
			return isOffset(offset) ? new AppendResult.Appended(offset.longValue())
					: new AppendResult.Unconfirmed("Response names no offset");
		}
		catch (IOException ex) {
			return new AppendResult.Unconfirmed("Response is not valid JSON");
		}
	}

	@Override
	public CompletableFuture<ReadResult> read(long fromOffset, long waitMs) {
		String path = PATH + "?from=" + fromOffset + "&wait_ms=" + waitMs;
		return this.httpClient.call(HttpCall.of("GET", this.target, path, new byte[0]), this.timeoutMs + waitMs)
			.handle((response, failure) -> (failure != null) ? new ReadResult.Unavailable(failure.toString())
					: toReadResult(response));
	}

	private static ReadResult toReadResult(HttpCallResponse response) {
		if (!response.isSuccess()) {
			return new ReadResult.Unavailable("HTTP status " + response.status());
		}
		try {
			JsonNode root = MAPPER.readTree(response.body());
			if (!isPartOfLog(root)) {
				return new ReadResult.Unavailable("Response has no offsets or no list of records");
			}
			List<RawRecord> records = StreamSupport.stream(root.path("records").spliterator(), false)
				.map((node) -> new RawRecord(node.path("offset").asLong(),
						node.path("data").asText().getBytes(StandardCharsets.UTF_8)))
				.toList();
			return new ReadResult.Records(root.path("earliest").asLong(), root.path("end").asLong(), records);
		}
		catch (IOException ex) {
			return new ReadResult.Unavailable("Response is not valid JSON");
		}
	}

	private static boolean isPartOfLog(JsonNode root) {
		return isOffset(root.path("earliest")) && isOffset(root.path("end")) && root.path("records").isArray();
	}

	private static boolean isOffset(JsonNode node) {
		return node.isIntegralNumber() && node.canConvertToLong();
	}

}
