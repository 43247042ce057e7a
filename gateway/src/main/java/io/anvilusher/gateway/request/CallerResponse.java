package io.anvilusher.gateway.request;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.OptionalLong;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;

import io.anvilusher.adapters.http.CallerDisconnectListener;
import io.anvilusher.adapters.http.ResponseWriter;
import io.anvilusher.model.request.HttpHeader;
import io.anvilusher.model.request.RefusalReason;

/**
 * The response to a caller. Status and headers are sent together with the first bytes of
 * the body, so until then a different outcome can still be reported.
 */
public final class CallerResponse {

	private static final Runnable NO_ACTION = () -> {
	};

	private static final double MS_PER_S = 1_000;

	private final HttpServerExchange exchange;

	private final ResponseWriter writer;

	/**
	 * Creates the response of an exchange; nothing is sent yet.
	 * @param exchange the exchange with the caller
	 */
	public CallerResponse(HttpServerExchange exchange) {
		this.exchange = exchange;
		this.writer = new ResponseWriter(exchange);
	}

	/**
	 * Sends an error response that names the reason. Does nothing if a response has been
	 * started already.
	 * @param reason why the request is refused
	 * @param retryAfterMs delay after which the caller should retry, in ms; empty for no
	 * Retry-After header
	 */
	public void refuse(RefusalReason reason, OptionalLong retryAfterMs) {
		retryAfterMs.ifPresent((afterMs) -> this.exchange.getResponseHeaders()
			.put(Headers.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", afterMs / MS_PER_S)));
		String body = "{\"error\":{\"code\":\"" + reason.code() + "\",\"run\":\""
				+ (reason.notRun() ? "not_run" : "unknown") + "\"}}";
		send(reason.httpStatus(), List.of(new HttpHeader("Content-Type", "application/json")),
				body.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Ends the response after an unexpected exception, in whatever state it is: refuses
	 * the request if no response has been started, otherwise closes the connection, so
	 * that the caller does not take a part for the whole.
	 * @param reason why the request is refused
	 * @param retryAfterMs delay after which the caller should retry, in ms; empty for no
	 * Retry-After header
	 */
	public void endUnexpectedly(RefusalReason reason, OptionalLong retryAfterMs) {
		if (this.exchange.isComplete()) {
			return;
		}
		if (this.exchange.isResponseStarted()) {
			this.writer.close();
			return;
		}
		try {
			this.exchange.getResponseHeaders().clear();
			refuse(reason, retryAfterMs);
		}
		catch (RuntimeException | Error ex) {
			this.writer.close();
			throw ex;
		}
	}

	void send(int status, List<HttpHeader> headers, byte[] body) {
		if (this.exchange.isResponseStarted()) {
			return;
		}
		setHead(status, headers);
		this.exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, body.length);
		this.writer.add(ByteBuffer.wrap(body), NO_ACTION);
		this.writer.end();
		this.writer.open();
		this.writer.drain();
	}

	void beginStream(int status, List<HttpHeader> headers) {
		setHead(status, headers);
		this.writer.open();
	}

	void sendEvents(byte[] events, Runnable onWritten) {
		this.writer.add(ByteBuffer.wrap(events), onWritten);
		this.writer.drain();
	}

	void endStream() {
		this.writer.end();
		this.writer.drain();
	}

	void abort() {
		this.writer.abort();
		this.writer.drain();
	}

	int pendingBytes() {
		return this.writer.pendingBytes();
	}

	private void setHead(int status, List<HttpHeader> headers) {
		this.exchange.setStatusCode(status);
		headers
			.forEach((header) -> this.exchange.getResponseHeaders().add(new HttpString(header.name()), header.value()));
	}

	void onCallerDisconnected(Runnable action) {
		CallerDisconnectListener listener = CallerDisconnectListener.of(this.exchange.getConnection());
		listener.set(action);
		this.exchange.addExchangeCompleteListener((ended, next) -> {
			listener.clear();
			next.proceed();
		});
		CallerDisconnectListener.readAhead(this.exchange);
	}

}
