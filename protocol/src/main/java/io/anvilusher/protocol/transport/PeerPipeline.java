package io.anvilusher.protocol.transport;

import java.util.concurrent.TimeUnit;

import io.netty.channel.ChannelInitializer;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.netty.handler.timeout.IdleStateHandler;

import io.anvilusher.protocol.generated.PeerMessages.Frame;
import io.anvilusher.protocol.generated.PeerMessages.Hello;

/**
 * Initializes the Netty pipeline of a connection: timeouts, framing, Protobuf codec and
 * {@link FrameHandler}.
 */
final class PeerPipeline extends ChannelInitializer<SocketChannel> {

	private static final int MAX_FRAME_BYTES = 64 * 1024 * 1024;

	private static final int LENGTH_FIELD_BYTES = 4;

	private final Hello localHello;

	private final PeerTiming timing;

	private final PeerListener listener;

	PeerPipeline(Hello localHello, PeerTiming timing, PeerListener listener) {
		this.localHello = localHello;
		this.timing = timing;
		this.listener = listener;
	}

	@Override
	protected void initChannel(SocketChannel channel) {
		channel.config().setTcpNoDelay(true);
		channel.pipeline()
			.addLast(new IdleStateHandler(this.timing.readTimeoutMs(), this.timing.keepAliveMs(), 0,
					TimeUnit.MILLISECONDS))
			.addLast(new FlushConsolidationHandler())
			.addLast(new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES))
			.addLast(new ProtobufDecoder(Frame.getDefaultInstance()))
			.addLast(new LengthFieldPrepender(LENGTH_FIELD_BYTES))
			.addLast(new ProtobufEncoder())
			.addLast(new FrameHandler(this.localHello, this.listener));
	}

}
