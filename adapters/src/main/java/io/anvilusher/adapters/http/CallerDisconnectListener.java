package io.anvilusher.adapters.http;

import java.io.IOException;
import java.nio.ByteBuffer;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.AttachmentKey;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Runs an action when a caller closes its connection during a request. There is one
 * instance per connection rather than per request, because Undertow keeps a close
 * listener for the lifetime of the connection.
 */
public final class CallerDisconnectListener {

	private static final Logger LOGGER = LoggerFactory.getLogger(CallerDisconnectListener.class);

	private static final AttachmentKey<CallerDisconnectListener> KEY = AttachmentKey
		.create(CallerDisconnectListener.class);

	private static final Runnable NO_ACTION = () -> {
	};

	private volatile Runnable action = NO_ACTION;

	private CallerDisconnectListener() {
	}

	/**
	 * Returns the instance of a connection and creates it on first use.
	 * @param connection the connection
	 * @return the instance
	 */
	public static CallerDisconnectListener of(ServerConnection connection) {
		CallerDisconnectListener existing = connection.getAttachment(KEY);
		if (existing != null) {
			return existing;
		}
		CallerDisconnectListener created = new CallerDisconnectListener();
		connection.putAttachment(KEY, created);
		connection.addCloseListener((closed) -> created.action.run());
		return created;
	}

	/**
	 * Sets the action for the request in progress on the connection.
	 * @param next action to run if the connection is closed; it replaces the previous one
	 */
	public void set(Runnable next) {
		this.action = next;
	}

	/**
	 * Removes the action after the request has ended.
	 */
	public void clear() {
		this.action = NO_ACTION;
	}

	/**
	 * Keeps reading from the connection while a request is in progress, because Undertow
	 * detects a closed connection only when it reads. Must be called on the connection's
	 * I/O thread after the complete request was read. Bytes of a pipelined request are
	 * stored for its parser.
	 * @param exchange exchange of the request in progress
	 */
	public static void readAhead(HttpServerExchange exchange) {
		if (!(exchange.getConnection() instanceof HttpServerConnection connection)
				|| connection.getExtraBytes() != null) {
			return;
		}
		// The conduit of the request's body ignores reads after the end of the body, so
		// the underlying conduit is read.
		StreamSourceConduit source = connection.getOriginalSourceConduit();
		connection.getChannel()
			.getSourceChannel()
			.setReadListener((channel) -> onReadableOrSuspend(connection, source));
		source.resumeReads();
	}

	private static void onReadableOrSuspend(AbstractServerConnection connection, StreamSourceConduit source) {
		try {
			onReadable(connection, source);
		}
		catch (RuntimeException | Error ex) {
			// The response in progress is worth more than noticing that the caller
			// leaves.
			source.suspendReads();
			LOGGER.error("Reading ahead from a caller failed; it is not noticed any more if the caller leaves", ex);
		}
	}

	private static void onReadable(AbstractServerConnection connection, StreamSourceConduit source) {
		PooledByteBuffer pooled = connection.getByteBufferPool().allocate();
		boolean stored = false;
		try {
			ByteBuffer buffer = pooled.getBuffer();
			int count = source.read(buffer);
			if (count < 0) {
				IoUtils.safeClose(connection);
			}
			else if (count > 0) {
				source.suspendReads();
				buffer.flip();
				connection.setExtraBytes(pooled);
				stored = true;
			}
		}
		catch (IOException ex) {
			IoUtils.safeClose(connection);
		}
		finally {
			if (!stored) {
				pooled.close();
			}
		}
	}

}
