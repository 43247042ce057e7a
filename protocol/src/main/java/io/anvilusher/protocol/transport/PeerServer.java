package io.anvilusher.protocol.transport;

import java.net.InetSocketAddress;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;

import io.anvilusher.protocol.generated.PeerMessages.Hello;

/**
 * Accepts connections from other processes of the system.
 */
public final class PeerServer implements AutoCloseable {

	private final Channel channel;

	private PeerServer(Channel channel) {
		this.channel = channel;
	}

	/**
	 * Starts accepting connections.
	 * @param group event loops that serve the connections
	 * @param address address to listen on; port 0 selects a free port
	 * @param localHello identification of this process, sent first on each connection
	 * @param timing timeouts of the connections
	 * @param listener receives the events of the connections
	 * @return the running server
	 * @throws IllegalStateException if the address cannot be bound
	 */
	public static PeerServer start(EventLoopGroup group, InetSocketAddress address, Hello localHello, PeerTiming timing,
			PeerListener listener) {
		ServerBootstrap bootstrap = new ServerBootstrap().group(group)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childHandler(new PeerPipeline(localHello, timing, listener));
		ChannelFuture bound = bootstrap.bind(address).awaitUninterruptibly();
		if (!bound.isSuccess()) {
			throw new IllegalStateException("Cannot listen on " + address, bound.cause());
		}
		return new PeerServer(bound.channel());
	}

	/**
	 * Returns the port that the server listens on.
	 * @return the port
	 */
	public int port() {
		return ((InetSocketAddress) this.channel.localAddress()).getPort();
	}

	@Override
	public void close() {
		this.channel.close().awaitUninterruptibly();
	}

}
