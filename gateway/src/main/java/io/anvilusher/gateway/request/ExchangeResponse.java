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
 * Writes the response to the exchange with the caller.
 */
public final class ExchangeResponse implements CallerResponse {

	private static final Runnable NO_ACTION = () -> {
	};

	private static final double MS_PER_S = 1_000;

	private final HttpServerExchange exchange;

	private final ResponseWriter writer;

	/**
	 * Creates the response of an exchange; nothing is sent yet.
	 * @param exchange the exchange with the caller
	 */
	public ExchangeResponse(HttpServerExchange exchange) {
		this.exchange = exchange;
		this.writer = new ResponseWriter(exchange);
	}

	@Override
	public void refuse(RefusalReason reason, OptionalLong retryAfterMs) {
		retryAfterMs.ifPresent((afterMs) -> this.exchange.getResponseHeaders()
			.put(Headers.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", afterMs / MS_PER_S)));
		String body = "{\"error\":{\"code\":\"" + reason.code() + "\",\"run\":\""
				+ (reason.notRun() ? "not_run" : "unknown") + "\"}}";
		send(reason.httpStatus(), List.of(new HttpHeader("Content-Type", "application/json")),
				body.getBytes(StandardCharsets.UTF_8));
	}

	@Override
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

	@Override
	public void send(int status, List<HttpHeader> headers, byte[] body) {
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

	@Override
	public void beginStream(int status, List<HttpHeader> headers) {
		setHead(status, headers);
		this.writer.open();
	}

	@Override
	public void sendEvents(byte[] events, Runnable onWritten) {
		this.writer.add(ByteBuffer.wrap(events), onWritten);
		this.writer.drain();
	}

	@Override
	public void endStream() {
		this.writer.end();
		this.writer.drain();
	}

	@Override
	public void abort() {
		this.writer.abort();
		this.writer.drain();
	}

	@Override
	public int pendingBytes() {
		return this.writer.pendingBytes();
	}

	private void setHead(int status, List<HttpHeader> headers) {
		this.exchange.setStatusCode(status);
		headers
			.forEach((header) -> this.exchange.getResponseHeaders().add(new HttpString(header.name()), header.value()));
	}

	@Override
	public void onCallerDisconnected(Runnable action) {
		CallerDisconnectListener listener = CallerDisconnectListener.of(this.exchange.getConnection());
		listener.set(action);
		this.exchange.addExchangeCompleteListener((ended, next) -> {
			listener.clear();
			next.proceed();
		});
		CallerDisconnectListener.readAhead(this.exchange);
	}

}
