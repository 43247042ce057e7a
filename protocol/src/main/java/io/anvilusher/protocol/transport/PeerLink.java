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
 * Keeps one connection open to an address, and opens it again after it was lost.
 */
public final class PeerLink implements AutoCloseable {

	private final InetSocketAddress address;

	private final PeerTiming timing;

	private final EventLoop eventLoop;

	private final Bootstrap bootstrap;

	private volatile @Nullable PeerConnection connection;

	private volatile boolean closed;

	private volatile @Nullable Channel channel;

	private long pauseMs;

	private PeerLink(EventLoopGroup group, InetSocketAddress address, Hello local, PeerTiming timing,
			PeerListener listener) {
		this.address = address;
		this.timing = timing;
		this.eventLoop = group.next();
		this.pauseMs = timing.reconnectMinMs();
		this.bootstrap = new Bootstrap().group(this.eventLoop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timing.connectTimeoutMs())
			.handler(new PeerPipeline(local, timing, new Tracker(listener)));
	}

	/**
	 * Opens a link.
	 * @param group threads that serve the connection
	 * @param address address of the other process
	 * @param local how this process introduces itself
	 * @param timing times of the connection
	 * @param listener receives what happens
	 * @return the link, which goes on trying until it is closed
	 */
	public static PeerLink open(EventLoopGroup group, InetSocketAddress address, Hello local, PeerTiming timing,
			PeerListener listener) {
		PeerLink link = new PeerLink(group, address, local, timing, listener);
		link.connect();
		return link;
	}

	/**
	 * Returns the connection.
	 * @return the connection, or empty while it is lost
	 */
	public Optional<PeerConnection> connection() {
		return Optional.ofNullable(this.connection);
	}

	/**
	 * Returns the address of the other process.
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
				reconnectLater();
				return;
			}
			future.channel().closeFuture().addListener((ended) -> reconnectLater());
			if (this.closed) {
				future.channel().close();
			}
		});
	}

	private void reconnectLater() {
		if (this.closed || this.eventLoop.isShuttingDown()) {
			return;
		}
		long jitterMs = ThreadLocalRandom.current().nextLong(this.pauseMs + 1);
		this.eventLoop.schedule(this::connect, this.pauseMs / 2 + jitterMs / 2, TimeUnit.MILLISECONDS);
		this.pauseMs = Math.min(this.pauseMs * 2, this.timing.reconnectMaxMs());
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
	 * Notes the open connection before the listener learns of it.
	 */
	private final class Tracker implements PeerListener {

		private final PeerListener listener;

		Tracker(PeerListener listener) {
			this.listener = listener;
		}

		@Override
		public void onOpen(PeerConnection opened) {
			PeerLink.this.connection = opened;
			PeerLink.this.pauseMs = PeerLink.this.timing.reconnectMinMs();
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
