package io.anvilusher.adapters.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

import io.anvilusher.model.request.AnswerHeader;

/**
 * One call over Undertow's client. All its work is done on one I/O thread.
 */
final class ClientCall implements RunningCall {

	private static final Logger LOGGER = LoggerFactory.getLogger(ClientCall.class);

	private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout=(\\d{1,6})");

	/** Part of a server's keep-alive time during which its connection is used. */
	private static final double KEEP_ALIVE_SHARE = 0.8;

	private final StreamingHttpClient client;

	private final HttpCall call;

	private final HttpCallListener listener;

	private final XnioIoThread thread;

	private @Nullable ClientConnection connection;

	private @Nullable StreamSourceChannel answer;

	private boolean sent;

	private boolean bodyWritten;

	private long keepAliveMs = StreamingHttpClient.DEFAULT_KEEP_ALIVE_MS;

	private boolean ended;

	private boolean paused;

	private boolean cancelled;

	ClientCall(StreamingHttpClient client, HttpCall call, HttpCallListener listener, XnioIoThread thread) {
		this.client = client;
		this.call = call;
		this.listener = listener;
		this.thread = thread;
	}

	void send(ClientConnection opened) {
		if (this.cancelled) {
			IoUtils.safeClose(opened);
			fail(new IOException("Cancelled before it was sent"));
			return;
		}
		this.connection = opened;
		if (!opened.isOpen()) {
			fail(new IOException("Connection closed before the request was sent"));
			return;
		}
		this.sent = true;
		this.listener.onSending();
		opened.sendRequest(request(), new ClientCallback<>() {

			@Override
			public void completed(ClientExchange exchange) {
				awaitAnswer(exchange);
				writeBody(exchange);
			}

			@Override
			public void failed(IOException ex) {
				fail(ex);
			}

		});
	}

	private ClientRequest request() {
		ClientRequest request = new ClientRequest().setMethod(new HttpString(this.call.method()))
			.setPath(this.call.path());
		this.call.headers()
			.forEach((header) -> request.getRequestHeaders().add(new HttpString(header.name()), header.value()));
		if (!request.getRequestHeaders().contains(Headers.HOST)) {
			request.getRequestHeaders().put(Headers.HOST, this.call.target().getAuthority());
		}
		if (this.call.body().length > 0 || this.call.method().equals("POST") || this.call.method().equals("PUT")) {
			request.getRequestHeaders().put(Headers.CONTENT_LENGTH, this.call.body().length);
		}
		return request;
	}

	private void writeBody(ClientExchange exchange) {
		if (this.call.body().length == 0) {
			this.bodyWritten = true;
			return;
		}
		ByteBuffer body = ByteBuffer.wrap(this.call.body());
		StreamSinkChannel sink = exchange.getRequestChannel();
		sink.getWriteSetter().set((channel) -> write(sink, body));
		write(sink, body);
	}

	private void write(StreamSinkChannel sink, ByteBuffer body) {
		try {
			while (body.hasRemaining()) {
				if (sink.write(body) == 0) {
					sink.resumeWrites();
					return;
				}
			}
			sink.shutdownWrites();
			if (sink.flush()) {
				this.bodyWritten = true;
				sink.suspendWrites();
			}
			else {
				sink.resumeWrites();
			}
		}
		catch (IOException ex) {
			fail(ex);
		}
	}

	private void awaitAnswer(ClientExchange exchange) {
		exchange.setResponseListener(new ClientCallback<>() {

			@Override
			public void completed(ClientExchange answered) {
				head(answered);
			}

			@Override
			public void failed(IOException ex) {
				fail(ex);
			}

		});
	}

	private void head(ClientExchange exchange) {
		if (this.ended) {
			return;
		}
		ClientResponse response = exchange.getResponse();
		List<AnswerHeader> headers = new ArrayList<>();
		for (HeaderValues values : response.getResponseHeaders()) {
			values.forEach((value) -> headers.add(new AnswerHeader(values.getHeaderName().toString(), value)));
		}
		this.keepAliveMs = keepAliveMs(response.getResponseHeaders().getFirst("Keep-Alive"));
		boolean framed = response.getResponseHeaders().contains(Headers.CONTENT_LENGTH)
				|| response.getResponseHeaders().contains(Headers.TRANSFER_ENCODING) || isBodiless(response);
		this.listener.onHead(response.getResponseCode(), headers, framed);
		StreamSourceChannel source = exchange.getResponseChannel();
		this.answer = source;
		source.getReadSetter().set(this::read);
		if (!this.paused) {
			source.wakeupReads();
		}
	}

	/**
	 * Reads how long the server keeps the connection without a request.
	 * @param header value of the answer's Keep-Alive header, or null
	 * @return milliseconds, less a part for the time that a request takes to arrive
	 */
	private static long keepAliveMs(@Nullable String header) {
		Matcher matcher = KEEP_ALIVE_TIMEOUT.matcher((header != null) ? header : "");
		return matcher.find() ? (long) (Long.parseLong(matcher.group(1)) * 1000 * KEEP_ALIVE_SHARE)
				: StreamingHttpClient.DEFAULT_KEEP_ALIVE_MS;
	}

	private boolean isBodiless(ClientResponse response) {
		return response.getResponseCode() == 204 || response.getResponseCode() == 304
				|| this.call.method().equals("HEAD");
	}

	private void read(StreamSourceChannel source) {
		try (PooledByteBuffer pooled = this.client.allocate()) {
			ByteBuffer buffer = pooled.getBuffer();
			while (!this.ended && !this.paused) {
				buffer.clear();
				int count = source.read(buffer);
				if (count == 0) {
					source.resumeReads();
					return;
				}
				if (count < 0) {
					end();
					return;
				}
				buffer.flip();
				this.listener.onData(buffer);
			}
			source.suspendReads();
		}
		catch (IOException ex) {
			fail(ex);
		}
	}

	private void end() {
		if (this.ended) {
			return;
		}
		this.ended = true;
		if (this.connection != null && this.bodyWritten) {
			this.client.keep(this.call.target(), this.connection, this.keepAliveMs);
		}
		else {
			// The server would take the next request for the rest of this body.
			IoUtils.safeClose(this.connection);
		}
		this.listener.onEnd();
	}

	void fail(IOException cause) {
		if (this.ended) {
			return;
		}
		this.ended = true;
		if (this.connection != null) {
			abort(this.connection);
		}
		this.listener.onFailure(this.sent, cause);
	}

	// Undertow closes a connection by waiting for the other side to close it as well.
	// A server at work does not do so; without its conduits it is closed at once.
	private static void abort(ClientConnection connection) {
		try {
			IoUtils.safeClose(connection.performUpgrade());
		}
		catch (IOException ex) {
			LOGGER.debug("The connection is closed already", ex);
		}
		IoUtils.safeClose(connection);
	}

	/**
	 * Gives the call up if its connection has not opened yet.
	 * @param timeoutMs time that it had
	 */
	void onConnectTimeout(long timeoutMs) {
		if (this.connection == null && !this.ended) {
			this.cancelled = true;
			fail(new IOException("No connection within " + timeoutMs + " ms"));
		}
	}

	private void onThread(Runnable task) {
		if (Thread.currentThread() == this.thread) {
			task.run();
			return;
		}
		this.thread.execute(task);
	}

	@Override
	public void pause() {
		onThread(() -> this.paused = true);
	}

	@Override
	public void resume() {
		onThread(() -> {
			this.paused = false;
			if (this.answer != null && !this.ended) {
				this.answer.wakeupReads();
			}
		});
	}

	@Override
	public void cancel() {
		onThread(() -> {
			this.cancelled = true;
			if (this.connection != null) {
				fail(new IOException("Cancelled"));
			}
		});
	}

}
