package io.anvilusher.protocol.transport;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import org.jspecify.annotations.Nullable;

import io.anvilusher.protocol.generated.PeerMessages.Frame;
import io.anvilusher.protocol.generated.PeerMessages.Hello;

/**
 * Keeps a connection to an address open and reconnects with exponential backoff and
 * jitter after it is lost.
 */
public final class PeerLink implements AutoCloseable {

	private final InetSocketAddress address;

	private final PeerTiming timing;

	private final EventLoop eventLoop;

	private final Bootstrap bootstrap;

	private volatile @Nullable PeerConnection connection;

	private volatile boolean closed;

	private volatile @Nullable Channel channel;

	private long reconnectDelayMs;

	private PeerLink(EventLoopGroup group, InetSocketAddress address, Hello localHello, PeerTiming timing,
			PeerListener listener) {
		this.address = address;
		this.timing = timing;
		this.eventLoop = group.next();
		this.reconnectDelayMs = timing.reconnectMinMs();
		this.bootstrap = new Bootstrap().group(this.eventLoop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timing.connectTimeoutMs())
			.handler(new PeerPipeline(localHello, timing, new ConnectionTracker(listener)));
	}

	/**
	 * Opens a link and starts to connect.
	 * @param group event loops, one of which serves the connection
	 * @param address address of the remote process
	 * @param localHello identification of this process, sent first on each connection
	 * @param timing timeouts and reconnect delays of the connection
	 * @param listener receives the events of the connection
	 * @return the link, which reconnects until it is closed
	 */
	public static PeerLink open(EventLoopGroup group, InetSocketAddress address, Hello localHello, PeerTiming timing,
			PeerListener listener) {
		PeerLink link = new PeerLink(group, address, localHello, timing, listener);
		link.connect();
		return link;
	}

	/**
	 * Returns the current connection.
	 * @return the connection, or empty while none is open
	 */
	public Optional<PeerConnection> connection() {
		return Optional.ofNullable(this.connection);
	}

	/**
	 * Returns the address of the remote process.
	 * @return the address
	 */
	public InetSocketAddress address() {
		return this.address;
	}

	private void connect() {
		if (this.closed) {
			return;
		}
		ChannelFuture future = this.bootstrap.connect(this.address);
		this.channel = future.channel();
		future.addListener((done) -> {
			if (!done.isSuccess()) {
				scheduleReconnect();
				return;
			}
			future.channel().closeFuture().addListener((ended) -> scheduleReconnect());
			if (this.closed) {
				future.channel().close();
			}
		});
	}

	private void scheduleReconnect() {
		if (this.closed || this.eventLoop.isShuttingDown()) {
			return;
		}
		long jitterMs = ThreadLocalRandom.current().nextLong(this.reconnectDelayMs + 1);
		this.eventLoop.schedule(this::connect, this.reconnectDelayMs / 2 + jitterMs / 2, TimeUnit.MILLISECONDS);
		this.reconnectDelayMs = Math.min(this.reconnectDelayMs * 2, this.timing.reconnectMaxMs());
	}

	@Override
	public void close() {
		this.closed = true;
		Channel current = this.channel;
		if (current != null) {
			current.close();
		}
	}

	/**
	 * Stores the open connection before the listener is notified of it.
	 */
	private final class ConnectionTracker implements PeerListener {

		private final PeerListener listener;

		ConnectionTracker(PeerListener listener) {
			this.listener = listener;
		}

		@Override
		public void onOpen(PeerConnection opened) {
			PeerLink.this.connection = opened;
			PeerLink.this.reconnectDelayMs = PeerLink.this.timing.reconnectMinMs();
			this.listener.onOpen(opened);
		}

		@Override
		public void onFrame(PeerConnection source, Frame frame) {
			this.listener.onFrame(source, frame);
		}

		@Override
		public void onClosed(PeerConnection ended) {
			PeerLink.this.connection = null;
			this.listener.onClosed(ended);
		}

	}

}
