package io.anvilusher.adapters.http;

import java.io.IOException;
import java.nio.ByteBuffer;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.AttachmentKey;
import org.xnio.IoUtils;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Notices when a caller closes its connection. There is one for each connection, since
 * Undertow keeps close listeners for the connection's whole life.
 */
public final class CallerWatch {

	private static final AttachmentKey<CallerWatch> KEY = AttachmentKey.create(CallerWatch.class);

	private static final Runnable NOTHING = () -> {
	};

	private volatile Runnable action = NOTHING;

	private CallerWatch() {
	}

	/**
	 * Returns the watch of a connection.
	 * @param connection the connection
	 * @return the watch
	 */
	public static CallerWatch of(ServerConnection connection) {
		CallerWatch known = connection.getAttachment(KEY);
		if (known != null) {
			return known;
		}
		CallerWatch created = new CallerWatch();
		connection.putAttachment(KEY, created);
		connection.addCloseListener((closed) -> created.action.run());
		return created;
	}

	/**
	 * Sets what to do for the request that is under way on the connection.
	 * @param next the action
	 */
	public void set(Runnable next) {
		this.action = next;
	}

	/**
	 * Ends the watch for the request that was under way.
	 */
	public void clear() {
		this.action = NOTHING;
	}

	/**
	 * Reads on while a request is under way, since Undertow notices a closed connection
	 * only when it reads. Must be called on the connection's I/O thread once the request
	 * was read whole. Bytes of a following request are kept for it.
	 * @param exchange the request under way
	 */
	public static void readAhead(HttpServerExchange exchange) {
		if (!(exchange.getConnection() instanceof HttpServerConnection connection)
				|| connection.getExtraBytes() != null) {
			return;
		}
		// The conduit of the request's body ignores reads after its end, so the one
		// below it is read.
		StreamSourceConduit source = connection.getOriginalSourceConduit();
		connection.getChannel().getSourceChannel().setReadListener((channel) -> onReadable(connection, source));
		source.resumeReads();
	}

	private static void onReadable(AbstractServerConnection connection, StreamSourceConduit source) {
		PooledByteBuffer pooled = connection.getByteBufferPool().allocate();
		boolean kept = false;
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
				kept = true;
			}
		}
		catch (IOException ex) {
			IoUtils.safeClose(connection);
		}
		finally {
			if (!kept) {
				pooled.close();
			}
		}
	}

}
