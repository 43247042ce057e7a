package io.anvilusher.adapters.platform;

import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.StreamSupport;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import io.anvilusher.adapters.http.HttpAnswer;
import io.anvilusher.adapters.http.HttpCall;
import io.anvilusher.adapters.http.HttpCaller;

/**
 * The platform's log over HTTP: {@code POST /log/control/records} appends the body and
 * answers {@code {"offset": n}}, {@code GET /log/control/records?from=n&wait_ms=m}
 * answers {@code earliest}, {@code end} and {@code records}.
 */
public final class HttpPlatformLog implements PlatformLog {

	private static final String PATH = "/log/control/records";

	private static final int TOO_MANY_REQUESTS = 429;

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final HttpCaller caller;

	private final URI target;

	private final long timeoutMs;

	/**
	 * Creates a client of the log.
	 * @param caller makes the calls
	 * @param target scheme, host and port of the platform
	 * @param timeoutMs longest time to wait for an answer, beyond the wait asked of the
	 * log
	 */
	public HttpPlatformLog(HttpCaller caller, URI target, long timeoutMs) {
		this.caller = caller;
		this.target = target;
		this.timeoutMs = timeoutMs;
	}

	@Override
	public CompletableFuture<AppendResult> append(byte[] record) {
		return this.caller.call(HttpCall.of("POST", this.target, PATH, record), this.timeoutMs)
			.handle((answer, failure) -> (failure != null) ? new AppendResult.Unanswered(failure.toString())
					: appended(answer));
	}

	private static AppendResult appended(HttpAnswer answer) {
		if (answer.status() == TOO_MANY_REQUESTS) {
			return new AppendResult.Limited();
		}
		if (!answer.isSuccess()) {
			return new AppendResult.Unanswered("HTTP status " + answer.status());
		}
		try {
			return new AppendResult.Appended(MAPPER.readTree(answer.body()).path("offset").asLong());
		}
		catch (IOException ex) {
			return new AppendResult.Unanswered("Unreadable answer");
		}
	}

	@Override
	public CompletableFuture<ReadResult> read(long fromOffset, long waitMs) {
		String path = PATH + "?from=" + fromOffset + "&wait_ms=" + waitMs;
		return this.caller.call(HttpCall.of("GET", this.target, path, new byte[0]), this.timeoutMs + waitMs)
			.handle((answer, failure) -> (failure != null) ? new ReadResult.Unavailable(failure.toString())
					: records(answer));
	}

	private static ReadResult records(HttpAnswer answer) {
		if (!answer.isSuccess()) {
			return new ReadResult.Unavailable("HTTP status " + answer.status());
		}
		try {
			JsonNode root = MAPPER.readTree(answer.body());
			List<RawRecord> records = StreamSupport.stream(root.path("records").spliterator(), false)
				.map((node) -> new RawRecord(node.path("offset").asLong(),
						node.path("data").asText().getBytes(StandardCharsets.UTF_8)))
				.toList();
			return new ReadResult.Records(root.path("earliest").asLong(), root.path("end").asLong(), records);
		}
		catch (IOException ex) {
			return new ReadResult.Unavailable("Unreadable answer");
		}
	}

}
