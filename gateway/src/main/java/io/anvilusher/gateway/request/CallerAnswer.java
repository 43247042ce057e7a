package io.anvilusher.gateway.request;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.OptionalLong;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;

import io.anvilusher.adapters.http.AnswerWriter;
import io.anvilusher.adapters.http.CallerWatch;
import io.anvilusher.model.request.AnswerHeader;
import io.anvilusher.model.request.RefusalReason;

/**
 * The answer to a caller. Its head is written with the first bytes of the body, so that
 * until then another outcome can still be told.
 */
public final class CallerAnswer {

	private static final Runnable NOTHING = () -> {
	};

	private static final double MS_PER_S = 1_000;

	private final HttpServerExchange exchange;

	private final AnswerWriter writer;

	/**
	 * Creates an answer.
	 * @param exchange the exchange
	 */
	public CallerAnswer(HttpServerExchange exchange) {
		this.exchange = exchange;
		this.writer = new AnswerWriter(exchange);
	}

	/**
	 * Refuses the request.
	 * @param reason why
	 * @param retryAfterMs when the caller should come back; empty if it should not
	 */
	public void refuse(RefusalReason reason, OptionalLong retryAfterMs) {
		retryAfterMs.ifPresent((afterMs) -> this.exchange.getResponseHeaders()
			.put(Headers.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", afterMs / MS_PER_S)));
		String body = "{\"error\":{\"code\":\"" + reason.code() + "\",\"run\":\""
				+ (reason.notRun() ? "not_run" : "unknown") + "\"}}";
		whole(reason.httpStatus(), List.of(new AnswerHeader("Content-Type", "application/json")),
				body.getBytes(StandardCharsets.UTF_8));
	}

	void whole(int status, List<AnswerHeader> headers, byte[] body) {
		if (this.exchange.isResponseStarted()) {
			return;
		}
		putHead(status, headers);
		this.exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, body.length);
		this.writer.add(ByteBuffer.wrap(body), NOTHING);
		this.writer.end();
		this.writer.open();
		this.writer.drain();
	}

	void beginStream(int status, List<AnswerHeader> headers) {
		putHead(status, headers);
		this.writer.open();
	}

	void events(byte[] events, Runnable onWritten) {
		this.writer.add(ByteBuffer.wrap(events), onWritten);
		this.writer.drain();
	}

	void endStream() {
		this.writer.end();
		this.writer.drain();
	}

	void breakOff() {
		this.writer.abort();
		this.writer.drain();
	}

	int pendingBytes() {
		return this.writer.pendingBytes();
	}

	private void putHead(int status, List<AnswerHeader> headers) {
		this.exchange.setStatusCode(status);
		headers
			.forEach((header) -> this.exchange.getResponseHeaders().add(new HttpString(header.name()), header.value()));
	}

	void onCallerGone(Runnable action) {
		CallerWatch watch = CallerWatch.of(this.exchange.getConnection());
		watch.set(action);
		this.exchange.addExchangeCompleteListener((ended, next) -> {
			watch.clear();
			next.proceed();
		});
		CallerWatch.readAhead(this.exchange);
	}

}
