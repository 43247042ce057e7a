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
 * Accepts connections of other processes.
 */
public final class PeerServer implements AutoCloseable {

	private final Channel channel;

	private PeerServer(Channel channel) {
		this.channel = channel;
	}

	/**
	 * Starts to accept connections.
	 * @param group threads that serve the connections
	 * @param address address to listen on; port 0 takes a free port
	 * @param local how this process introduces itself
	 * @param timing times of the connections
	 * @param listener receives what happens
	 * @return the running server
	 * @throws IllegalStateException if the address cannot be bound
	 */
	public static PeerServer start(EventLoopGroup group, InetSocketAddress address, Hello local, PeerTiming timing,
			PeerListener listener) {
		ServerBootstrap bootstrap = new ServerBootstrap().group(group)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childHandler(new PeerPipeline(local, timing, listener));
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
