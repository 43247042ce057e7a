package io.anvilusher.entry.http;

import java.util.List;

import com.google.protobuf.ByteString;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;

import io.anvilusher.adapters.http.CallerDisconnectListener;
import io.anvilusher.adapters.http.ResponseWriter;
import io.anvilusher.entry.dispatch.ResponseSink;
import io.anvilusher.model.request.HttpHeader;
import io.anvilusher.model.request.RefusalReason;

/**
 * Writes the response to the caller's connection. All work on the connection is done on
 * its I/O thread. Aborting a response closes the connection before the end of the body,
 * so that the caller can see that the response is incomplete.
 */
final class UndertowResponseSink implements ResponseSink {

	private static final HttpString RUN_STATE = new HttpString("X-Run-State");

	private static final Runnable NO_OP = () -> {
	};

	private final HttpServerExchange exchange;

	private final String requestId;

	private final ResponseWriter writer;

	private boolean eventStream;

	private volatile boolean completed;

	UndertowResponseSink(HttpServerExchange exchange, String requestId) {
		this.exchange = exchange;
		this.requestId = requestId;
		this.writer = new ResponseWriter(exchange);
	}

	@Override
	public void respond(int status, List<HttpHeader> headers, ByteString body) {
		this.completed = true;
		this.writer.onIoThread(() -> {
			if (this.exchange.isResponseStarted()) {
				return;
			}
			setHead(status, headers);
			this.exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, body.size());
			this.writer.add(body.asReadOnlyByteBuffer(), NO_OP);
			this.writer.end();
			this.writer.open();
			this.writer.drain();
		});
	}

	private void setHead(int status, List<HttpHeader> headers) {
		this.exchange.setStatusCode(status);
		headers
			.forEach((header) -> this.exchange.getResponseHeaders().add(new HttpString(header.name()), header.value()));
		this.exchange.getResponseHeaders().put(RequestIds.HEADER, this.requestId);
	}

	@Override
	public void begin(int status, List<HttpHeader> headers) {
		this.writer.onIoThread(() -> {
			if (this.exchange.isResponseStarted()) {
				return;
			}
			setHead(status, headers);
			String type = this.exchange.getResponseHeaders().getFirst(Headers.CONTENT_TYPE);
			this.eventStream = type != null && type.startsWith("text/event-stream");
			this.writer.open();
		});
	}

	@Override
	public void write(ByteString data, Runnable onWritten) {
		this.writer.onIoThread(() -> {
			this.writer.add(data.asReadOnlyByteBuffer(), onWritten);
			this.writer.drain();
		});
	}

	@Override
	public void end() {
		this.completed = true;
		this.writer.onIoThread(() -> {
			this.writer.end();
			this.writer.drain();
		});
	}

	@Override
	public void refuse(RefusalReason reason, String detail) {
		this.completed = true;
		ByteString body = ErrorBody.write(reason, detail, this.requestId);
		this.writer.onIoThread(() -> {
			if (!this.writer.isOpen() && !this.exchange.isResponseStarted()) {
				sendError(reason, body);
				return;
			}
			if (this.eventStream) {
				ByteString event = ByteString.copyFromUtf8("data: ")
					.concat(body)
					.concat(ByteString.copyFromUtf8("\n\n"));
				this.writer.add(event.asReadOnlyByteBuffer(), NO_OP);
			}
			this.writer.abort();
			this.writer.drain();
		});
	}

	private void sendError(RefusalReason reason, ByteString body) {
		this.exchange.getResponseHeaders().put(RUN_STATE, ErrorBody.runState(reason));
		respond(reason.httpStatus(), List.of(new HttpHeader("Content-Type", "application/json")), body);
	}

	@Override
	public void onCallerDisconnected(Runnable action) {
		CallerDisconnectListener listener = CallerDisconnectListener.of(this.exchange.getConnection());
		listener.set(() -> {
			if (!this.completed) {
				action.run();
			}
		});
		this.exchange.addExchangeCompleteListener((ended, next) -> {
			listener.clear();
			next.proceed();
		});
	}

}
