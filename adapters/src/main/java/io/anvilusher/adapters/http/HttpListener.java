package io.anvilusher.adapters.http;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;

import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.protocol.http.HttpOpenListener;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

import io.anvilusher.adapters.metrics.Meters;
import io.anvilusher.adapters.process.MonotonicClock;
import io.anvilusher.logic.admission.DescriptorShares;

/**
 * An HTTP server at one address whose clients are bounded. It replaces
 * {@code io.undertow.Undertow}, which does not let an application see its connections
 * before they have sent a request.
 */
public final class HttpListener implements AutoCloseable {

	private static final int MEBIBYTE = 1024 * 1024;

	private static final int BUFFERS_PER_THREAD = 4;

	private final AcceptingChannel<StreamConnection> server;

	private final HttpOpenListener openListener;

	private final ClientConnections connections;

	private HttpListener(AcceptingChannel<StreamConnection> server, HttpOpenListener openListener,
			ClientConnections connections) {
		this.server = server;
		this.openListener = openListener;
		this.connections = connections;
	}

	/**
	 * Starts to listen.
	 * @param address address to listen at; port 0 selects a free port
	 * @param worker worker whose I/O threads handle the connections
	 * @param limits limits on the clients
	 * @param options further options of Undertow and of the sockets
	 * @param meters counts the connections that are closed
	 * @param handler handles the requests
	 * @return the running listener
	 * @throws UncheckedIOException if it cannot listen at the address
	 */
	public static HttpListener start(InetSocketAddress address, XnioWorker worker, ListenerLimits limits,
			ListenerOptions options, Meters meters, HttpHandler handler) {
		ClientConnections connections = new ClientConnections(limits, meters, MonotonicClock.SYSTEM);
		HttpOpenListener openListener = new HttpOpenListener(buffers(),
				OptionMap.builder().addAll(options(limits)).addAll(options.server()).getMap());
		openListener.setRootHandler(connections.following(handler));
		ChannelListener<StreamConnection> opened = (channel) -> connections.open(channel, openListener);
		try {
			AcceptingChannel<StreamConnection> server = worker.createStreamConnectionServer(address,
					ChannelListeners.openListenerAdapter(opened),
					OptionMap.builder()
						.set(Options.WORKER_IO_THREADS, worker.getIoThreadCount())
						.set(Options.TCP_NODELAY, true)
						.set(Options.REUSE_ADDRESSES, true)
						.set(Options.BALANCING_TOKENS, 1)
						.set(Options.BALANCING_CONNECTIONS, 2)
						.addAll(acceptLimits(limits, worker))
						.addAll(options.socket())
						.getMap());
			server.resumeAccepts();
			connections.startChecks(worker.getIoThread());
			return new HttpListener(server, openListener, connections);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	// XNIO accepts on a thread of its own, so a busy I/O thread would not notice how many
	// connections wait for it. XNIO accepts again when the number falls below the low
	// water mark, which must be above the number that the limits leave open for ever. It
	// divides the marks between I/O threads, where a full one could not be relieved.
	private static OptionMap acceptLimits(ListenerLimits limits, XnioWorker worker) {
		if (worker.getIoThreadCount() > 1) {
			return OptionMap.EMPTY;
		}
		return OptionMap.builder()
			.set(Options.CONNECTION_HIGH_WATER,
					limits.maxConnections() + DescriptorShares.waiting(limits.maxConnections()))
			.set(Options.CONNECTION_LOW_WATER, limits.maxConnections() + 2)
			.getMap();
	}

	private static OptionMap options(ListenerLimits limits) {
		return OptionMap.builder()
			.set(UndertowOptions.MAX_HEADER_SIZE, limits.request().maxHeadBytes())
			.set(UndertowOptions.MAX_HEADERS, limits.request().maxHeadFields())
			.set(UndertowOptions.MAX_PARAMETERS, limits.request().maxQueryParameters())
			.set(UndertowOptions.MAX_COOKIES, limits.request().maxHeadFields())
			.set(UndertowOptions.MAX_ENTITY_SIZE, limits.request().maxBodyBytes())
			.set(UndertowOptions.REQUEST_PARSE_TIMEOUT, limits.headTimeoutMs())
			.set(UndertowOptions.NO_REQUEST_TIMEOUT, limits.idleTimeoutMs())
			.set(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
			.set(UndertowOptions.ENABLE_HTTP2, false)
			// Otherwise a response is held back as long as part of the next request has
			// arrived.
			.set(UndertowOptions.BUFFER_PIPELINED_DATA, false)
			.set(UndertowOptions.DECODE_URL, false)
			.getMap();
	}

	// The sizes are those that Undertow's builder selects.
	private static ByteBufferPool buffers() {
		long maxHeapBytes = Runtime.getRuntime().maxMemory();
		if (maxHeapBytes < 64L * MEBIBYTE) {
			return new DefaultByteBufferPool(false, 512, -1, BUFFERS_PER_THREAD);
		}
		return new DefaultByteBufferPool(true, (maxHeapBytes < 128L * MEBIBYTE) ? 1024 : 16 * 1024 - 20, -1,
				BUFFERS_PER_THREAD);
	}

	/**
	 * Returns the port that the server listens at.
	 * @return the port, also if the port of the address is 0
	 */
	public int port() {
		return this.server.getLocalAddress(InetSocketAddress.class).getPort();
	}

	/**
	 * Stops to listen and closes all connections. The worker goes on.
	 */
	@Override
	public void close() {
		this.connections.stopChecks();
		IoUtils.safeClose(this.server);
		this.openListener.closeConnections();
	}

	/**
	 * Options besides the limits.
	 *
	 * @param server options of Undertow
	 * @param socket options of the listening socket and of its connections
	 */
	public record ListenerOptions(OptionMap server, OptionMap socket) {

		/** No further options. */
		public static final ListenerOptions NONE = new ListenerOptions(OptionMap.EMPTY, OptionMap.EMPTY);

	}

}
