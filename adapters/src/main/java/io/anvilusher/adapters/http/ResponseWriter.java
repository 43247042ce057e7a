package io.anvilusher.adapters.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;
import org.xnio.Options;
import org.xnio.channels.StreamSinkChannel;

/**
 * Writes the body of a response to a caller's connection without blocking. All methods
 * but {@link #onIoThread} are called on the connection's I/O thread.
 * <p>
 * A caller can detect a truncated body: it ends before its length or its last chunk, or,
 * for HTTP/1.0, which has no chunks, with a reset of the connection, which also the end
 * of the process causes. The reset may discard parts that were sent and not yet read.
 */
public final class ResponseWriter {

	private static final Logger LOGGER = LoggerFactory.getLogger(ResponseWriter.class);

	/**
	 * Time for a client to read the response before its connection is closed, although it
	 * has not sent its whole request, in ms.
	 */
	private static final long CLOSE_DELAY_MS = 500;

	private final HttpServerExchange exchange;

	private final Deque<Part> queuedParts = new ArrayDeque<>();

	private @Nullable StreamSinkChannel channel;

	private boolean ending;

	private boolean aborting;

	private boolean closed;

	/** Whether only the end of the connection marks the end of the body. */
	private boolean endsWithConnection;

	private int pendingBytes;

	/**
	 * Creates a writer. Status and headers must be set before {@link #open()}.
	 * @param exchange exchange whose response is written
	 */
	public ResponseWriter(HttpServerExchange exchange) {
		this.exchange = exchange;
	}

	/**
	 * Runs a task on the connection's I/O thread: at once if called on that thread, else
	 * later.
	 * @param task the task
	 */
	public void onIoThread(Runnable task) {
		if (this.exchange.isInIoThread()) {
			task.run();
			return;
		}
		this.exchange.getIoThread().execute(task);
	}

	/**
	 * Returns whether the response was opened, so that its status and headers are final.
	 * @return whether it was opened
	 */
	public boolean isOpen() {
		return this.channel != null;
	}

	/**
	 * Opens the response. Its status and headers are sent with the first write.
	 */
	public void open() {
		if (hasUnreadChunks()) {
			this.exchange.setPersistent(false);
			this.exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
		}
		if (!hasKnownLength()) {
			markEndOfBody();
		}
		StreamSinkChannel opened = this.exchange.getResponseChannel();
		if (opened == null) {
			this.closed = true;
			return;
		}
		this.channel = opened;
		opened.getWriteSetter().set((ready) -> drainOrClose());
	}

	private boolean hasKnownLength() {
		int status = this.exchange.getStatusCode();
		return this.exchange.getResponseHeaders().contains(Headers.CONTENT_LENGTH) || status == StatusCodes.NO_CONTENT
				|| status == StatusCodes.NOT_MODIFIED;
	}

	// Undertow sends chunks by itself only on connections that are kept.
	private void markEndOfBody() {
		if (this.exchange.isHttp11()) {
			this.exchange.getResponseHeaders().put(Headers.TRANSFER_ENCODING, Headers.CHUNKED.toString());
			return;
		}
		this.endsWithConnection = true;
		resetOnClose(true);
	}

	private void resetOnClose(boolean reset) {
		try {
			this.exchange.getConnection().setOption(Options.CLOSE_ABORT, reset);
		}
		catch (IOException ex) {
			LOGGER.atDebug()
				.setCause(ex)
				.addKeyValue("path", this.exchange.getRequestURI())
				.log("The caller's connection is closed already; the response ends");
			close();
		}
	}

	/**
	 * Queues a part of the body; {@link #drain()} writes it.
	 * @param data the part
	 * @param onWritten runs once the part was passed to the connection
	 */
	public void add(ByteBuffer data, Runnable onWritten) {
		this.pendingBytes += data.remaining();
		this.queuedParts.addLast(new Part(data, data.remaining(), onWritten));
	}

	/**
	 * Ends the response once the queued parts are written.
	 */
	public void end() {
		this.ending = true;
	}

	/**
	 * Aborts the response by closing the connection once the queued parts are written.
	 */
	public void abort() {
		this.aborting = true;
	}

	/**
	 * Returns the size of the queued parts that are not fully written.
	 * @return size in bytes
	 */
	public int pendingBytes() {
		return this.pendingBytes;
	}

	/**
	 * Writes as many queued bytes as the connection accepts. The rest is written when the
	 * connection becomes writable again.
	 */
	public void drain() {
		StreamSinkChannel responseChannel = this.channel;
		if (this.closed || responseChannel == null) {
			return;
		}
		try {
			if (!writeParts(responseChannel)) {
				responseChannel.resumeWrites();
				return;
			}
			if (this.aborting) {
				responseChannel.flush();
				close();
				return;
			}
			if (this.ending && !endBody(responseChannel)) {
				responseChannel.resumeWrites();
				return;
			}
			if (!responseChannel.flush()) {
				responseChannel.resumeWrites();
				return;
			}
			responseChannel.suspendWrites();
			if (this.ending) {
				this.closed = true;
				endExchange();
			}
		}
		catch (IOException ex) {
			close();
		}
	}

	// A connection that marks the end of the body may be closed in order only once the
	// whole body is on its way.
	private boolean endBody(StreamSinkChannel responseChannel) throws IOException {
		if (this.endsWithConnection) {
			if (!responseChannel.flush()) {
				return false;
			}
			this.endsWithConnection = false;
			resetOnClose(false);
		}
		responseChannel.shutdownWrites();
		return true;
	}

	// Undertow would skip the rest of the body at once, as long as any has arrived: 40 ms
	// of the I/O thread's time for chunks of 4 MiB from a fast client.
	private void endExchange() {
		if (!hasUnreadChunks()) {
			this.exchange.endExchange();
			return;
		}
		this.exchange.getIoThread().executeAfter(() -> {
			IoUtils.safeClose(this.exchange.getConnection());
			this.exchange.endExchange();
		}, CLOSE_DELAY_MS, TimeUnit.MILLISECONDS);
	}

	private boolean hasUnreadChunks() {
		return !this.exchange.isRequestComplete() && this.exchange.getRequestContentLength() < 0;
	}

	// Nothing else would end the response if the listener of the connection threw.
	private void drainOrClose() {
		try {
			drain();
		}
		catch (RuntimeException | Error ex) {
			LOGGER.atError()
				.setCause(ex)
				.addKeyValue("path", this.exchange.getRequestURI())
				.log("Unexpected exception while a response is written; the connection to the caller is closed");
			close();
		}
	}

	private boolean writeParts(StreamSinkChannel responseChannel) throws IOException {
		while (!this.queuedParts.isEmpty()) {
			Part part = this.queuedParts.getFirst();
			while (part.data().hasRemaining()) {
				if (SlicedWrite.write(responseChannel, part.data()) == 0) {
					return false;
				}
			}
			this.queuedParts.removeFirst();
			this.pendingBytes -= part.sizeBytes();
			part.onWritten().run();
		}
		return true;
	}

	/**
	 * Closes the connection immediately and discards the queued parts.
	 */
	public void close() {
		this.closed = true;
		this.queuedParts.clear();
		IoUtils.safeClose(this.exchange.getConnection());
	}

	private record Part(ByteBuffer data, int sizeBytes, Runnable onWritten) {

	}

}
