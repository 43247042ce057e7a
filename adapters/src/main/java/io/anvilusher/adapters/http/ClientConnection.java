package io.anvilusher.adapters.http;

import java.io.IOException;
import java.nio.ByteBuffer;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.AttachmentKey;
import org.jspecify.annotations.Nullable;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.conduits.AbstractStreamSinkConduit;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSinkConduit;
import org.xnio.conduits.StreamSourceConduit;

import io.anvilusher.logic.admission.ConnectionBudget.Stage;

/**
 * A connection of a client. It reports to the listener's connections what the client has
 * sent and whether it reads. Used on the connection's I/O thread, except
 * {@link #lastReceivedMs()}.
 */
final class ClientConnection {

	static final AttachmentKey<ClientConnection> KEY = AttachmentKey.create(ClientConnection.class);

	private static final long PIPELINED_WINDOW_MS = 1_000;

	private final StreamConnection channel;

	private final ClientConnections connections;

	private Stage stage = Stage.HEAD;

	private long headBytes;

	private volatile long lastReceivedMs;

	private @Nullable HttpServerExchange exchange;

	private long pipelinedSinceMs;

	private int pipelinedCount;

	ClientConnection(StreamConnection channel, ClientConnections connections) {
		this.channel = channel;
		this.connections = connections;
	}

	/** Installs the conduits that observe the connection; called before it is read. */
	void observe() {
		this.channel.getSourceChannel().setConduit(new Source(this.channel.getSourceChannel().getConduit()));
		this.channel.getSinkChannel().setConduit(new Sink(this.channel.getSinkChannel().getConduit()));
	}

	StreamConnection channel() {
		return this.channel;
	}

	long headBytes() {
		return this.headBytes;
	}

	long lastReceivedMs() {
		return this.lastReceivedMs;
	}

	/**
	 * Records that a request has started.
	 * @param started exchange of the request
	 * @return number of requests within the last second that had arrived before the
	 * response to the previous one was complete
	 */
	int onHead(HttpServerExchange started) {
		long nowMs = this.connections.nowMs();
		if (nowMs - this.pipelinedSinceMs >= PIPELINED_WINDOW_MS) {
			this.pipelinedSinceMs = nowMs;
			this.pipelinedCount = 0;
		}
		// Nothing was received since the previous request ended.
		if (this.stage == Stage.IDLE) {
			this.pipelinedCount++;
		}
		this.exchange = started;
		started.putAttachment(KEY, this);
		move(started.isRequestComplete() ? Stage.IN_PROGRESS : Stage.BODY);
		return this.pipelinedCount;
	}

	void onBody() {
		if (this.stage == Stage.BODY) {
			move(Stage.IN_PROGRESS);
		}
	}

	void onEnd() {
		this.exchange = null;
		this.headBytes = 0;
		move(Stage.IDLE);
	}

	// Such a request may have been sent to a server.
	boolean isRequestComplete() {
		HttpServerExchange current = this.exchange;
		return current != null && current.isRequestComplete();
	}

	void close() {
		IoUtils.safeClose(this.channel);
	}

	private void move(Stage next) {
		if (this.stage != next) {
			this.stage = next;
			this.connections.onStage(this, next);
		}
	}

	private void onReceived(long bytes) {
		if (bytes <= 0) {
			return;
		}
		this.lastReceivedMs = this.connections.nowMs();
		if (this.stage == Stage.IDLE) {
			move(Stage.HEAD);
		}
		if (this.stage == Stage.HEAD) {
			this.headBytes += bytes;
			this.connections.onHeadGrowth(this);
		}
	}

	private void onSent(long bytes, boolean hasMore) {
		if (bytes > 0 && this.stage == Stage.UNREAD_RESPONSE) {
			move(Stage.IN_PROGRESS);
		}
		else if (bytes == 0 && hasMore && this.stage == Stage.IN_PROGRESS) {
			move(Stage.UNREAD_RESPONSE);
		}
	}

	private final class Source extends AbstractStreamSourceConduit<StreamSourceConduit> {

		Source(StreamSourceConduit next) {
			super(next);
		}

		@Override
		public int read(ByteBuffer target) throws IOException {
			int count = super.read(target);
			onReceived(count);
			return count;
		}

		@Override
		public long read(ByteBuffer[] targets, int offset, int length) throws IOException {
			long count = super.read(targets, offset, length);
			onReceived(count);
			return count;
		}

	}

	private final class Sink extends AbstractStreamSinkConduit<StreamSinkConduit> {

		Sink(StreamSinkConduit next) {
			super(next);
		}

		@Override
		public int write(ByteBuffer source) throws IOException {
			int count = super.write(source);
			onSent(count, source.hasRemaining());
			return count;
		}

		@Override
		public long write(ByteBuffer[] sources, int offset, int length) throws IOException {
			long count = super.write(sources, offset, length);
			onSent(count, hasRemaining(sources, offset, length));
			return count;
		}

		@Override
		public int writeFinal(ByteBuffer source) throws IOException {
			int count = super.writeFinal(source);
			onSent(count, source.hasRemaining());
			return count;
		}

		@Override
		public long writeFinal(ByteBuffer[] sources, int offset, int length) throws IOException {
			long count = super.writeFinal(sources, offset, length);
			onSent(count, hasRemaining(sources, offset, length));
			return count;
		}

		private static boolean hasRemaining(ByteBuffer[] sources, int offset, int length) {
			for (int index = offset; index < offset + length; index++) {
				if (sources[index].hasRemaining()) {
					return true;
				}
			}
			return false;
		}

	}

}
