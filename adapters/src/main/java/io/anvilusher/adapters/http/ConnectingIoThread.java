package io.anvilusher.adapters.http;

import java.net.SocketAddress;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;
import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.channels.BoundChannel;

import io.anvilusher.adapters.metrics.Meters;
import io.anvilusher.logic.admission.MemoryBudget;

/**
 * Opens connections on another I/O thread and reads from them through a
 * {@link ResponseReadConduit}. Undertow's client reads the head of a response for as long
 * as bytes arrive, so without this, a server that sends a head without end would stop all
 * other work of the thread. This object is never started as a thread itself.
 */
final class ConnectingIoThread extends XnioIoThread {

	private final XnioIoThread delegate;

	private final MemoryBudget memory;

	private final Meters meters;

	private @Nullable ResponseReadConduit opening;

	ConnectingIoThread(XnioIoThread delegate, MemoryBudget memory, Meters meters) {
		super(delegate.getWorker(), delegate.getNumber());
		this.delegate = delegate;
		this.memory = memory;
		this.meters = meters;
	}

	/**
	 * Returns the conduit of the connection whose opening is being reported. Undertow
	 * calls the listener of a connection at once, on the I/O thread.
	 * @return the conduit
	 */
	ResponseReadConduit opening() {
		return Objects.requireNonNull(this.opening, "no connection is being opened");
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
		return this.delegate.openStreamConnection(destination, reading(destination, openListener), options);
	}

	@Override
	public IoFuture<StreamConnection> openStreamConnection(SocketAddress destination,
			ChannelListener<? super StreamConnection> openListener, ChannelListener<? super BoundChannel> bindListener,
			OptionMap options) {
		return this.delegate.openStreamConnection(destination, reading(destination, openListener), bindListener,
				options);
	}

	private ChannelListener<StreamConnection> reading(SocketAddress destination,
			ChannelListener<? super StreamConnection> openListener) {
		return (connection) -> {
			ResponseReadConduit conduit = new ResponseReadConduit(connection.getSourceChannel().getConduit(),
					destination, this.memory.open(), this.meters);
			connection.getSourceChannel().setConduit(conduit);
			this.opening = conduit;
			try {
				openListener.handleEvent(connection);
			}
			catch (RuntimeException | Error ex) {
				// The call fails by its time-out; nothing else would close the socket.
				IoUtils.safeClose(connection);
				throw ex;
			}
			finally {
				this.opening = null;
			}
		};
	}

}
