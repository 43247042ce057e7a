package io.anvilusher.entry.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

import com.google.protobuf.ByteString;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import org.jspecify.annotations.Nullable;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

import io.anvilusher.entry.dispatch.AnswerSink;
import io.anvilusher.model.request.AnswerHeader;
import io.anvilusher.model.request.RefusalReason;

/**
 * Writes the answer to the caller's connection. All work on the connection is done on its
 * I/O thread; an answer that is broken off closes the connection before the body's end,
 * so that its caller can see that it is not whole.
 */
final class UndertowAnswerSink implements AnswerSink {

	private static final HttpString RUN_STATE = new HttpString("X-Run-State");

	private final HttpServerExchange exchange;

	private final String requestId;

	private final Deque<Part> parts = new ArrayDeque<>();

	private @Nullable StreamSinkChannel channel;

	private boolean eventStream;

	private boolean ending;

	private boolean aborting;

	private boolean closed;

	private volatile boolean answered;

	UndertowAnswerSink(HttpServerExchange exchange, String requestId) {
		this.exchange = exchange;
		this.requestId = requestId;
	}

	private void onIoThread(Runnable task) {
		if (this.exchange.isInIoThread()) {
			task.run();
			return;
		}
		this.exchange.getIoThread().execute(task);
	}

	@Override
	public void answer(int status, List<AnswerHeader> headers, ByteString body) {
		this.answered = true;
		onIoThread(() -> {
			if (this.exchange.isResponseStarted()) {
				return;
			}
			putHead(status, headers);
			this.exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, body.size());
			this.parts.addLast(new Part(body.asReadOnlyByteBuffer(), () -> {
			}));
			this.ending = true;
			openChannel();
			drain();
		});
	}

	private void putHead(int status, List<AnswerHeader> headers) {
		this.exchange.setStatusCode(status);
		headers
			.forEach((header) -> this.exchange.getResponseHeaders().add(new HttpString(header.name()), header.value()));
		this.exchange.getResponseHeaders().put(RequestIds.HEADER, this.requestId);
	}

	private void openChannel() {
		StreamSinkChannel opened = this.exchange.getResponseChannel();
		if (opened == null) {
			this.closed = true;
			return;
		}
		this.channel = opened;
		opened.getWriteSetter().set((ready) -> drain());
	}

	@Override
	public void begin(int status, List<AnswerHeader> headers) {
		onIoThread(() -> {
			if (this.exchange.isResponseStarted()) {
				return;
			}
			putHead(status, headers);
			String type = this.exchange.getResponseHeaders().getFirst(Headers.CONTENT_TYPE);
			this.eventStream = type != null && type.startsWith("text/event-stream");
			openChannel();
		});
	}

	@Override
	public void write(ByteString data, Runnable onWritten) {
		onIoThread(() -> {
			this.parts.addLast(new Part(data.asReadOnlyByteBuffer(), onWritten));
			drain();
		});
	}

	@Override
	public void end() {
		this.answered = true;
		onIoThread(() -> {
			this.ending = true;
			drain();
		});
	}

	@Override
	public void refuse(RefusalReason reason, String detail) {
		this.answered = true;
		ByteString body = ErrorBody.write(reason, detail, this.requestId);
		onIoThread(() -> {
			if (this.channel == null && !this.exchange.isResponseStarted()) {
				refuseWhole(reason, body);
				return;
			}
			if (this.eventStream) {
				ByteString event = ByteString.copyFromUtf8("data: ")
					.concat(body)
					.concat(ByteString.copyFromUtf8("\n\n"));
				this.parts.addLast(new Part(event.asReadOnlyByteBuffer(), () -> {
				}));
			}
			this.aborting = true;
			drain();
		});
	}

	private void refuseWhole(RefusalReason reason, ByteString body) {
		this.exchange.getResponseHeaders().put(RUN_STATE, ErrorBody.runState(reason));
		answer(reason.httpStatus(), List.of(new AnswerHeader("Content-Type", "application/json")), body);
	}

	@Override
	public void onCallerGone(Runnable action) {
		CallerWatch watch = CallerWatch.of(this.exchange.getConnection());
		watch.set(() -> {
			if (!this.answered) {
				action.run();
			}
		});
		this.exchange.addExchangeCompleteListener((ended, next) -> {
			watch.clear();
			next.proceed();
		});
	}

	private void drain() {
		StreamSinkChannel out = this.channel;
		if (this.closed || out == null) {
			return;
		}
		try {
			if (!writeParts(out)) {
				out.resumeWrites();
				return;
			}
			if (this.aborting) {
				out.flush();
				close();
				return;
			}
			if (this.ending) {
				out.shutdownWrites();
			}
			if (!out.flush()) {
				out.resumeWrites();
				return;
			}
			out.suspendWrites();
			if (this.ending) {
				this.closed = true;
				this.exchange.endExchange();
			}
		}
		catch (IOException ex) {
			close();
		}
	}

	private boolean writeParts(StreamSinkChannel out) throws IOException {
		while (!this.parts.isEmpty()) {
			Part part = this.parts.getFirst();
			while (part.data().hasRemaining()) {
				if (out.write(part.data()) == 0) {
					return false;
				}
			}
			this.parts.removeFirst();
			part.onWritten().run();
		}
		return true;
	}

	private void close() {
		this.closed = true;
		this.parts.clear();
		IoUtils.safeClose(this.exchange.getConnection());
	}

	private record Part(ByteBuffer data, Runnable onWritten) {

	}

}
