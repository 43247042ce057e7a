package io.anvilusher.adapters.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;

import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.Connectors;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import org.xnio.channels.StreamSourceChannel;

import io.anvilusher.logic.admission.MemoryBudget;

/**
 * Reads the body of a caller's request into memory without blocking. The memory comes
 * from the budget of the process: for a body of announced length before any of it is
 * read, for another one while it arrives. All methods are called on the connection's I/O
 * thread.
 */
public final class RequestBodyReader {

	/** Bytes that are read at once, so that a fast caller does not delay the others. */
	private static final int MAX_BYTES_PER_TURN = 64 * 1024;

	/**
	 * Reads at once. Each chunk of a chunked body takes one, so that a client that sends
	 * chunks of one byte does not delay the others.
	 */
	private static final int MAX_READS_PER_TURN = 64;

	private final HttpServerExchange exchange;

	private final ByteBufferPool buffers;

	private final Listener listener;

	private final BodyBuffer body;

	private boolean cancelled;

	/**
	 * Creates a reader; nothing is read yet.
	 * @param exchange exchange of the request
	 * @param client client whose buffers and memory budget are used
	 * @param maxBytes maximum size of the body, in bytes
	 * @param listener receives the outcome
	 */
	public RequestBodyReader(HttpServerExchange exchange, HttpCalls client, long maxBytes, Listener listener) {
		this(exchange, client.buffers(), client.memory(), maxBytes, listener);
	}

	/**
	 * Creates a reader with a memory budget of its own; nothing is read yet.
	 * @param exchange exchange of the request
	 * @param buffers buffers that are read into
	 * @param memory budget of the body's memory
	 * @param maxBytes maximum size of the body, in bytes
	 * @param listener receives the outcome
	 */
	public RequestBodyReader(HttpServerExchange exchange, ByteBufferPool buffers, MemoryBudget memory, long maxBytes,
			Listener listener) {
		this.exchange = exchange;
		this.buffers = buffers;
		this.listener = listener;
		this.body = new BodyBuffer(maxBytes, memory.open());
		exchange.addExchangeCompleteListener((ended, next) -> {
			cancel();
			next.proceed();
		});
	}

	/**
	 * Reserves the memory of a body whose length is announced.
	 * @return false if the process has no memory left for it
	 */
	public boolean reserve() {
		long announcedBytes = this.exchange.getRequestContentLength();
		return announcedBytes <= 0 || this.body.reserve(announcedBytes);
	}

	/**
	 * Starts to read. The listener may be called before this method returns.
	 */
	public void start() {
		if (this.exchange.isRequestComplete()) {
			onComplete();
			this.listener.onBody(this.body.take());
			return;
		}
		StreamSourceChannel channel = this.exchange.getRequestChannel();
		if (channel == null) {
			this.listener.onFailed(new IOException("The request body is read already"));
			return;
		}
		channel.getReadSetter().set(this::onReadable);
		readAvailable(channel).ifPresent(Runnable::run);
	}

	private void onComplete() {
		ClientConnection connection = this.exchange.getAttachment(ClientConnection.KEY);
		if (connection != null) {
			connection.onBody();
		}
	}

	/**
	 * Stops reading and gives the memory back.
	 */
	public void cancel() {
		this.cancelled = true;
		this.body.release();
	}

	private void onReadable(StreamSourceChannel channel) {
		if (this.cancelled) {
			channel.suspendReads();
			return;
		}
		readAvailable(channel).ifPresent((outcome) -> Connectors
			.executeRootHandler((read) -> read.dispatch(SameThreadExecutor.INSTANCE, outcome), this.exchange));
	}

	private Optional<Runnable> readAvailable(StreamSourceChannel channel) {
		Optional<Runnable> outcome;
		try {
			outcome = read(channel);
		}
		catch (IOException ex) {
			this.body.release();
			outcome = Optional.of(() -> this.listener.onFailed(ex));
		}
		catch (RuntimeException | Error ex) {
			// The caller would wait for ever if this only reached the I/O thread's log.
			this.body.release();
			outcome = Optional
				.of(() -> this.listener.onFailed(new IOException("Unexpected exception while a body is read", ex)));
		}
		if (outcome.isPresent()) {
			channel.suspendReads();
			channel.getReadSetter().set(null);
		}
		return outcome;
	}

	private Optional<Runnable> read(StreamSourceChannel channel) throws IOException {
		try (PooledByteBuffer pooled = this.buffers.allocate()) {
			ByteBuffer buffer = pooled.getBuffer();
			int readBytes = 0;
			for (int reads = 0; reads < MAX_READS_PER_TURN && readBytes < MAX_BYTES_PER_TURN; reads++) {
				buffer.clear();
				int count = channel.read(buffer);
				if (count == 0) {
					channel.resumeReads();
					return Optional.empty();
				}
				if (count < 0) {
					byte[] complete = this.body.take();
					onComplete();
					return Optional.of(() -> this.listener.onBody(complete));
				}
				buffer.flip();
				BodyBuffer.Result result = this.body.add(buffer);
				if (result != BodyBuffer.Result.ADDED) {
					this.body.release();
					return Optional.of(() -> this.listener.onRejected(result));
				}
				readBytes += count;
			}
		}
		channel.wakeupReads();
		return Optional.empty();
	}

	/**
	 * Receives the outcome of reading a body; one of its methods is called once.
	 */
	public interface Listener {

		/**
		 * Called with the complete body. Its memory is held until the exchange is
		 * complete.
		 * @param body the body; empty if the request has none
		 */
		void onBody(byte[] body);

		/**
		 * Called when the body is not read any further.
		 * @param reason why: the body is too large, or no memory is left for it
		 */
		void onRejected(BodyBuffer.Result reason);

		/**
		 * Called when the connection failed.
		 * @param cause the failure
		 */
		void onFailed(IOException cause);

	}

}
