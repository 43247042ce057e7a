package io.anvilusher.protocol.transport;

import java.util.Objects;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleStateEvent;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.anvilusher.protocol.generated.PeerMessages.Frame;
import io.anvilusher.protocol.generated.PeerMessages.Hello;

/**
 * Exchanges {@code Hello} frames on a new connection and passes later frames to the
 * listener. Empty frames serve as keep-alives.
 */
class FrameHandler extends SimpleChannelInboundHandler<Frame> {

	private static final Logger LOGGER = LoggerFactory.getLogger(FrameHandler.class);

	private static final Frame KEEP_ALIVE_FRAME = Frame.getDefaultInstance();

	private final Hello localHello;

	private final PeerListener listener;

	private @Nullable NettyPeerConnection connection;

	FrameHandler(Hello localHello, PeerListener listener) {
		this.localHello = localHello;
		this.listener = listener;
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		context.writeAndFlush(Frame.newBuilder().setHello(this.localHello).build());
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, Frame frame) {
		if (this.connection != null) {
			if (frame.getBodyCase() != Frame.BodyCase.BODY_NOT_SET) {
				this.listener.onFrame(this.connection, frame);
			}
			return;
		}
		if (!frame.hasHello()) {
			LOGGER.warn("Closing the connection to {}: its first frame was not a Hello",
					context.channel().remoteAddress());
			context.close();
			return;
		}
		this.connection = new NettyPeerConnection(context.channel(), frame.getHello());
		this.listener.onOpen(this.connection);
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext context, Object event) {
		if (event instanceof IdleStateEvent idle) {
			switch (idle.state()) {
				case READER_IDLE -> context.close();
				case WRITER_IDLE -> context.writeAndFlush(KEEP_ALIVE_FRAME);
				default -> {
				}
			}
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		if (this.connection != null) {
			this.listener.onClosed(Objects.requireNonNull(this.connection));
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		LOGGER.debug("Closing the connection to {} after an error", context.channel().remoteAddress(), cause);
		context.close();
	}

}
