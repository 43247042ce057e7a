package io.anvilusher.adapters.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
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

import io.anvilusher.model.request.HttpHeader;

/**
 * One call over Undertow's client. Its state is used on a single I/O thread.
 */
final class ClientCall implements RunningCall {

	private static final Logger LOGGER = LoggerFactory.getLogger(ClientCall.class);

	private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout=(\\d{1,6})");

	/**
	 * Fraction of the server's keep-alive time during which an idle connection is reused.
	 */
	private static final double KEEP_ALIVE_REUSE_FRACTION = 0.8;

	/** Smallest status of a final response; those below it are interim responses. */
	private static final int MIN_STATUS = 200;

	private static final int MAX_STATUS = 599;

	private static final int NO_CONTENT = 204;

	private static final int NOT_MODIFIED = 304;

	private final StreamingHttpClient client;

	private final HttpCall call;

	private final HttpCallListener listener;

	private final XnioIoThread thread;

	private @Nullable ServerConnection connection;

	private @Nullable StreamSourceChannel responseChannel;

	private boolean requestSent;

	private boolean requestBodyWritten;

	private boolean responseFramed;

	/**
	 * Whether Undertow's client waits for a body that the response does not have.
	 */
	private boolean bodyAwaited;

	/**
	 * Whether the connection has ended a response without length before the request body
	 * was written.
	 */
	private boolean endAwaitsRequestBody;

	private long keepAliveMs = StreamingHttpClient.DEFAULT_KEEP_ALIVE_MS;

	private boolean ended;

	private boolean failureNotified;

	private boolean paused;

	private boolean cancelled;

	ClientCall(StreamingHttpClient client, HttpCall call, HttpCallListener listener, XnioIoThread thread) {
		this.client = client;
		this.call = call;
		this.listener = listener;
		this.thread = thread;
	}

	/**
	 * Sends the request on a connection. If that is not possible, the listener is told.
	 * @param opened the connection, which no other call uses
	 */
	void send(ServerConnection opened) {
		guard(() -> sendNow(opened));
	}

	private void sendNow(ServerConnection opened) {
		if (this.cancelled) {
			IoUtils.safeClose(opened.connection());
			fail(new IOException("Cancelled before it was sent"));
			return;
		}
		this.connection = opened;
		if (!opened.connection().isOpen()) {
			fail(new IOException("Connection closed before the request was sent"));
			return;
		}
		this.requestSent = true;
		opened.input().onRequest(this.call.method());
		this.listener.onSending();
		opened.connection().sendRequest(request(), new ClientCallback<>() {

			@Override
			public void completed(ClientExchange exchange) {
				guard(() -> {
					awaitResponse(exchange);
					writeBody(exchange);
				});
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
			this.requestBodyWritten = true;
			return;
		}
		ByteBuffer body = ByteBuffer.wrap(this.call.body());
		StreamSinkChannel sink = exchange.getRequestChannel();
		sink.getWriteSetter().set((channel) -> guard(() -> writeBody(sink, body)));
		writeBody(sink, body);
	}

	private void writeBody(StreamSinkChannel sink, ByteBuffer body) {
		try {
			while (body.hasRemaining()) {
				if (SlicedWrite.write(sink, body) == 0) {
					sink.resumeWrites();
					return;
				}
			}
			sink.shutdownWrites();
			if (sink.flush()) {
				sink.suspendWrites();
				onRequestBodyWritten();
			}
			else {
				sink.resumeWrites();
			}
		}
		catch (IOException ex) {
			fail(ex);
		}
	}

	private void onRequestBodyWritten() {
		this.requestBodyWritten = true;
		if (this.endAwaitsRequestBody) {
			endCall();
		}
	}

	private void awaitResponse(ClientExchange exchange) {
		exchange.setResponseListener(new ClientCallback<>() {

			@Override
			public void completed(ClientExchange responded) {
				guard(() -> onResponseHead(responded));
			}

			@Override
			public void failed(IOException ex) {
				fail(ex);
			}

		});
	}

	private void onResponseHead(ClientExchange exchange) {
		if (this.ended) {
			return;
		}
		if (this.connection != null) {
			this.connection.input().onHead();
		}
		ClientResponse response = exchange.getResponse();
		int status = response.getResponseCode();
		if (status < MIN_STATUS || status > MAX_STATUS) {
			LOGGER.warn("Server at {} sent a response with status {}; the connection is closed", this.call.target(),
					status);
			fail(new IOException(
					"Status " + status + " of the response is not from " + MIN_STATUS + " to " + MAX_STATUS));
			return;
		}
		List<HttpHeader> headers = new ArrayList<>();
		for (HeaderValues values : response.getResponseHeaders()) {
			values.forEach((value) -> headers.add(new HttpHeader(values.getHeaderName().toString(), value)));
		}
		this.keepAliveMs = keepAliveMs(response.getResponseHeaders().getFirst("Keep-Alive"));
		this.responseFramed = response.getResponseHeaders().contains(Headers.CONTENT_LENGTH)
				|| response.getResponseHeaders().contains(Headers.TRANSFER_ENCODING) || isBodiless(response);
		this.listener.onHead(status, headers, this.responseFramed);
		if (describesAnotherBody(response)) {
			// Undertow would wait for that body.
			this.bodyAwaited = true;
			endCall();
			return;
		}
		StreamSourceChannel source = exchange.getResponseChannel();
		this.responseChannel = source;
		source.getReadSetter().set((channel) -> guard(() -> readBody(channel)));
		if (!this.paused) {
			source.wakeupReads();
		}
	}

	/**
	 * Returns how long the connection may be idle and still be reused.
	 * @param header value of the response's Keep-Alive header, or null
	 * @return time in ms; it is shorter than the server's timeout to allow for the time
	 * that a request takes to arrive
	 */
	private static long keepAliveMs(@Nullable String header) {
		Matcher matcher = KEEP_ALIVE_TIMEOUT.matcher((header != null) ? header : "");
		return matcher.find() ? (long) (Long.parseLong(matcher.group(1)) * 1000 * KEEP_ALIVE_REUSE_FRACTION)
				: StreamingHttpClient.DEFAULT_KEEP_ALIVE_MS;
	}

	private boolean isBodiless(ClientResponse response) {
		return response.getResponseCode() == NO_CONTENT || response.getResponseCode() == NOT_MODIFIED
				|| this.call.method().equals("HEAD");
	}

	// A 304 has the framing that a response with the content would have (RFC 9110,
	// section 8.6).
	private static boolean describesAnotherBody(ClientResponse response) {
		String length = response.getResponseHeaders().getFirst(Headers.CONTENT_LENGTH);
		return response.getResponseCode() == NOT_MODIFIED && ((length != null && !length.equals("0"))
				|| response.getResponseHeaders().contains(Headers.TRANSFER_ENCODING));
	}

	private void readBody(StreamSourceChannel source) {
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
					onBodyEnd(source);
					return;
				}
				buffer.flip();
				if (this.connection != null) {
					this.connection.input().onBody(count);
				}
				this.listener.onData(buffer);
			}
			source.suspendReads();
		}
		catch (IOException ex) {
			fail(ex);
		}
	}

	private void onBodyEnd(StreamSourceChannel source) {
		if (this.ended) {
			return;
		}
		if (!this.responseFramed && !this.requestBodyWritten) {
			// The operating system reports a reset after the end of the connection only
			// to the writer.
			this.endAwaitsRequestBody = true;
			source.suspendReads();
			return;
		}
		endCall();
	}

	private void endCall() {
		if (this.ended) {
			return;
		}
		ServerConnection used = Objects.requireNonNull(this.connection, "a call without a connection has ended");
		boolean reusable;
		try {
			reusable = this.responseFramed && used.input().checkEnd() && !this.bodyAwaited;
		}
		catch (IOException ex) {
			fail(ex);
			return;
		}
		this.ended = true;
		// A server would read the next request as the rest of an incomplete body. A late
		// answer would be taken for the next one.
		if (reusable && this.requestBodyWritten && !this.call.ownConnection()) {
			used.input().onIdle();
			this.client.returnToPool(this.call.target(), used, this.keepAliveMs);
		}
		else {
			used.input().onAbandoned();
			IoUtils.safeClose(used.connection());
		}
		this.listener.onEnd();
	}

	/**
	 * Fails the call and closes its connection, unless it has ended.
	 * @param cause cause of the failure, which the listener gets
	 */
	void fail(IOException cause) {
		if (!this.ended) {
			guard(() -> failNow(cause));
		}
	}

	private void failNow(IOException cause) {
		this.ended = true;
		// A connection that opens later must not carry the request any more.
		this.cancelled = true;
		try {
			if (this.connection != null) {
				this.connection.input().onAbandoned();
				closeImmediately(this.connection.connection());
			}
		}
		finally {
			notifyFailure(cause);
		}
	}

	private void notifyFailure(IOException cause) {
		if (!this.failureNotified) {
			this.failureNotified = true;
			this.listener.onFailure(this.requestSent, cause);
		}
	}

	// Undertow does not tell the call when a step throws, so the listener would wait for
	// ever.
	private void guard(Runnable step) {
		try {
			step.run();
		}
		catch (RuntimeException | Error ex) {
			onUnexpected(ex);
		}
	}

	/**
	 * Fails the call because of an exception that no step expects. The listener is told
	 * once, also if it threw itself when it was told of the end.
	 * @param cause the exception or error
	 */
	void onUnexpected(Throwable cause) {
		UnexpectedCallException failure = new UnexpectedCallException(this.call.target().getAuthority(), cause);
		LOGGER.atError()
			.setCause(cause)
			.addKeyValue("server_address", this.call.target().getAuthority())
			.addKeyValue("method", this.call.method())
			.addKeyValue("path", this.call.path())
			.addKeyValue("sent", this.requestSent)
			.log("Unexpected exception in a call to a server; the call fails");
		try {
			if (this.ended) {
				notifyFailure(failure);
			}
			else {
				failNow(failure);
			}
		}
		catch (RuntimeException | Error ex) {
			LOGGER.error("A call could not be ended after an unexpected exception", ex);
		}
	}

	// Undertow's close waits until the server closes its side too, which a server that is
	// still processing the request does not do. Taking over the socket by an upgrade
	// allows it to be closed immediately.
	private static void closeImmediately(ClientConnection connection) {
		try {
			IoUtils.safeClose(connection.performUpgrade());
		}
		catch (IOException ex) {
			LOGGER.debug("Connection was already closed", ex);
		}
		IoUtils.safeClose(connection);
	}

	/**
	 * Fails the call if its connection has not been opened yet.
	 * @param timeoutMs time for which the call has waited, in ms
	 */
	void onConnectTimeout(long timeoutMs) {
		if (this.connection == null && !this.ended) {
			this.cancelled = true;
			fail(new IOException("No connection within " + timeoutMs + " ms"));
		}
	}

	private void runOnIoThread(Runnable task) {
		if (Thread.currentThread() == this.thread) {
			guard(task);
			return;
		}
		this.thread.execute(() -> guard(task));
	}

	@Override
	public void pause() {
		runOnIoThread(() -> this.paused = true);
	}

	@Override
	public void resume() {
		runOnIoThread(() -> {
			this.paused = false;
			if (this.responseChannel != null && !this.ended) {
				this.responseChannel.wakeupReads();
			}
		});
	}

	@Override
	public boolean isRequestWritten() {
		return this.requestBodyWritten;
	}

	@Override
	public void cancel() {
		runOnIoThread(() -> {
			this.cancelled = true;
			if (this.connection != null) {
				fail(new IOException("Cancelled"));
			}
		});
	}

}
