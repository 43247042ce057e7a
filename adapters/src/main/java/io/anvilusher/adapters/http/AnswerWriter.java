package io.anvilusher.adapters.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;

import io.undertow.server.HttpServerExchange;
import org.jspecify.annotations.Nullable;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/**
 * Writes the body of an answer to a caller's connection. All work is done on the
 * connection's I/O thread; an answer that is broken off closes the connection before the
 * body's end, so that its caller can see that it is not whole.
 */
public final class AnswerWriter {

	private final HttpServerExchange exchange;

	private final Deque<Part> parts = new ArrayDeque<>();

	private @Nullable StreamSinkChannel channel;

	private boolean ending;

	private boolean aborting;

	private boolean closed;

	private int pendingBytes;

	/**
	 * Creates a writer. Status and headers must be set before the first call that writes.
	 * @param exchange the exchange
	 */
	public AnswerWriter(HttpServerExchange exchange) {
		this.exchange = exchange;
	}

	/**
	 * Runs a task on the connection's I/O thread.
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
	 * Tells whether the answer's head is being written.
	 * @return whether it is
	 */
	public boolean isOpen() {
		return this.channel != null;
	}

	/**
	 * Begins to write the answer's head.
	 */
	public void open() {
		StreamSinkChannel opened = this.exchange.getResponseChannel();
		if (opened == null) {
			this.closed = true;
			return;
		}
		this.channel = opened;
		opened.getWriteSetter().set((ready) -> drain());
	}

	/**
	 * Adds a part of the body.
	 * @param data the part
	 * @param onWritten is run when the part was handed to the connection
	 */
	public void add(ByteBuffer data, Runnable onWritten) {
		this.pendingBytes += data.remaining();
		this.parts.addLast(new Part(data, data.remaining(), onWritten));
	}

	/**
	 * Ends the answer after the parts that were added.
	 */
	public void end() {
		this.ending = true;
	}

	/**
	 * Breaks the answer off after the parts that were added.
	 */
	public void abort() {
		this.aborting = true;
	}

	/**
	 * Returns the bytes that the caller has not taken.
	 * @return bytes
	 */
	public int pendingBytes() {
		return this.pendingBytes;
	}

	/**
	 * Writes as much as the connection takes; the rest follows when it takes more.
	 */
	public void drain() {
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
			this.pendingBytes -= part.sizeBytes();
			part.onWritten().run();
		}
		return true;
	}

	/**
	 * Closes the connection at once.
	 */
	public void close() {
		this.closed = true;
		this.parts.clear();
		IoUtils.safeClose(this.exchange.getConnection());
	}

	private record Part(ByteBuffer data, int sizeBytes, Runnable onWritten) {

	}

}
