package io.anvilusher.adapters.http;

import java.net.SocketAddress;
import java.util.concurrent.TimeUnit;

import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.channels.BoundChannel;

/**
 * Opens connections on another I/O thread and makes them return to its event loop after
 * each {@value YieldingReadConduit#MAX_BYTES_PER_TURN} bytes. Undertow's client reads the
 * head of a response for as long as bytes arrive, so without this, a server that sends a
 * head without end would stop all other work of the thread. This object is never started
 * as a thread itself.
 */
final class YieldingIoThread extends XnioIoThread {

	private final XnioIoThread delegate;

	YieldingIoThread(XnioIoThread delegate) {
		super(delegate.getWorker(), delegate.getNumber());
		this.delegate = delegate;
	}

	@Override
	public void execute(Runnable command) {
		this.delegate.execute(command);
	}

	@Override
	public Key executeAfter(Runnable command, long time, TimeUnit unit) {
		return this.delegate.executeAfter(command, time, unit);
	}

	@Override
	public Key executeAtInterval(Runnable command, long time, TimeUnit unit) {
		return this.delegate.executeAtInterval(command, time, unit);
	}

	@Override
	public IoFuture<StreamConnection> openStreamConnection(SocketAddress destination,
			ChannelListener<? super StreamConnection> openListener, OptionMap options) {
		return this.delegate.openStreamConnection(destination, yielding(openListener), options);
	}

	@Override
	public IoFuture<StreamConnection> openStreamConnection(SocketAddress destination,
			ChannelListener<? super StreamConnection> openListener, ChannelListener<? super BoundChannel> bindListener,
			OptionMap options) {
		return this.delegate.openStreamConnection(destination, yielding(openListener), bindListener, options);
	}

	private static ChannelListener<StreamConnection> yielding(ChannelListener<? super StreamConnection> openListener) {
		return (connection) -> {
			connection.getSourceChannel()
				.setConduit(new YieldingReadConduit(connection.getSourceChannel().getConduit()));
			openListener.handleEvent(connection);
		};
	}

}
