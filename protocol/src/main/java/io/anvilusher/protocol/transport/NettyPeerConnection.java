package io.anvilusher.protocol.transport;

import io.netty.channel.Channel;

import io.anvilusher.protocol.generated.PeerMessages.Frame;
import io.anvilusher.protocol.generated.PeerMessages.Hello;

/**
 * A connection to another process over a Netty channel.
 */
final class NettyPeerConnection implements PeerConnection {

	private final Channel channel;

	private final Hello remote;

	NettyPeerConnection(Channel channel, Hello remote) {
		this.channel = channel;
		this.remote = remote;
	}

	@Override
	public Hello remote() {
		return this.remote;
	}

	@Override
	public boolean send(Frame frame) {
		if (!this.channel.isActive()) {
			return false;
		}
		this.channel.writeAndFlush(frame, this.channel.voidPromise());
		return true;
	}

	@Override
	public void close() {
		this.channel.close();
	}

}
