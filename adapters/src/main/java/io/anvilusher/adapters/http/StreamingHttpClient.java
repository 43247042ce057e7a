package io.anvilusher.adapters.http;

import java.io.IOException;
import java.net.URI;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;

import io.undertow.UndertowOptions;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.DefaultByteBufferPool;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

import io.anvilusher.adapters.metrics.Meters;
import io.anvilusher.adapters.process.MonotonicClock;
import io.anvilusher.logic.admission.MemoryBudget;

/**
 * Makes HTTP calls over Undertow's client. Responses are passed on as they arrive, and
 * connections are pooled for reuse.
 */
public final class StreamingHttpClient implements HttpCalls, AutoCloseable {

	private static final Logger LOGGER = LoggerFactory.getLogger(StreamingHttpClient.class);

	private static final int BUFFER_BYTES = 16 * 1024;

	private static final int MAX_IDLE_CONNECTIONS_PER_TARGET = 256;

	private final XnioWorker worker;

	private final ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);

	/**
	 * Idle time after which a connection is not reused if the server announces no
	 * keep-alive timeout. It follows common defaults of servers.
	 */
	static final long DEFAULT_KEEP_ALIVE_MS = 4_000;

	/**
	 * Allows for several round trips between data centres. A server that is up accepts a
	 * connection in one round trip; waiting longer for one that is down would use up the
	 * target latency of the request.
	 */
	private static final long CONNECT_TIMEOUT_MS = 250;

	/** A timer that fires later than this shows that its thread was busy. */
	private static final long MAX_TIMER_DELAY_MS = 20;

	private final Map<URI, Deque<IdleConnection>> idleConnections = new ConcurrentHashMap<>();

	private final Map<XnioIoThread, ConnectingIoThread> connectThreads = new ConcurrentHashMap<>();

	private final MemoryBudget memory;

	private final Meters meters;

	private StreamingHttpClient(XnioWorker worker, MemoryBudget memory, Meters meters) {
		this.worker = worker;
		this.memory = memory;
		this.meters = meters;
	}

	/**
	 * Creates a client whose responses in memory use a fixed share of the heap. Its
	 * metrics are not shown.
	 * @param name name of its I/O threads
	 * @param ioThreads number of its I/O threads
	 * @return the client
	 */
	public static StreamingHttpClient create(String name, int ioThreads) {
		return create(name, ioThreads, new Meters());
	}

	/**
	 * Creates a client whose responses in memory use a fixed share of the heap.
	 * @param name name of its I/O threads
	 * @param ioThreads number of its I/O threads
	 * @param meters counts malformed responses
	 * @return the client
	 */
	public static StreamingHttpClient create(String name, int ioThreads, Meters meters) {
		return create(name, ioThreads, MemoryBudget.ofHeap(Runtime.getRuntime().maxMemory()), meters);
	}

	private static StreamingHttpClient create(String name, int ioThreads, MemoryBudget memory, Meters meters) {
		try {
			return new StreamingHttpClient(Xnio.getInstance()
				.createWorker(OptionMap.builder()
					.set(Options.WORKER_IO_THREADS, ioThreads)
					.set(Options.WORKER_NAME, name)
					.set(Options.WORKER_TASK_CORE_THREADS, 1)
					.set(Options.WORKER_TASK_MAX_THREADS, 1)
					.set(Options.TCP_NODELAY, true)
					.set(Options.THREAD_DAEMON, true)
					.getMap()), memory, meters);
		}
		catch (IOException ex) {
			throw new IllegalStateException("Cannot start the I/O threads of the HTTP client", ex);
		}
	}

	/**
	 * Creates a client on the I/O threads of a server, so that a request and the call
	 * made for it can be handled by the same thread.
	 * @param worker worker that owns the threads; {@link #close()} shuts it down
	 * @param memory bounds the responses in memory
	 * @param meters counts malformed responses
	 * @return the client
	 */
	public static StreamingHttpClient on(XnioWorker worker, MemoryBudget memory, Meters meters) {
		return new StreamingHttpClient(worker, memory, meters);
	}

	/**
	 * Creates a client with an I/O thread and a memory budget of its own. Its calls wait
	 * neither for this client's I/O threads nor for the memory of messages of callers.
	 * @param name name of the I/O thread
	 * @return the client
	 */
	public StreamingHttpClient onOwnThread(String name) {
		return create(name, 1, MemoryBudget.ofHeapForControl(Runtime.getRuntime().maxMemory()), this.meters);
	}

	/**
	 * Loads the providers of Undertow's client from their jar files. A process calls this
	 * before it starts its threads, so that jar files are not read during the first call
	 * while other threads run.
	 */
	public static void loadProviders() {
		UndertowClient.getInstance();
	}

	@Override
	public RunningCall start(HttpCall call, HttpCallListener listener) {
		ServerConnection pooled = call.ownConnection() ? null : takeIdleConnection(call.target());
		if (pooled != null) {
			XnioIoThread pooledThread = pooled.connection().getIoThread();
			ClientCall running = new ClientCall(this, call, listener, pooledThread);
			if (Thread.currentThread() == pooledThread) {
				running.send(pooled);
			}
			else {
				pooledThread.execute(() -> running.send(pooled));
			}
			return running;
		}
		XnioIoThread thread = this.worker.getIoThread();
		ClientCall running = new ClientCall(this, call, listener, thread);
		try {
			connect(call, thread, running);
		}
		catch (RejectedExecutionException ex) {
			// The I/O threads have ended, so nothing else reports the failure.
			running.fail(new IOException("The client is closed", ex));
		}
		return running;
	}

	private void connect(HttpCall call, XnioIoThread thread, ClientCall running) {
		Runnable cancelTimeout = afterReading(thread, CONNECT_TIMEOUT_MS,
				() -> running.onConnectTimeout(CONNECT_TIMEOUT_MS));
		ConnectingIoThread connectThread = this.connectThreads.computeIfAbsent(thread,
				(delegate) -> new ConnectingIoThread(delegate, this.memory, this.meters));
		ClientCallback<ClientConnection> callback = new ClientCallback<>() {

			@Override
			public void completed(ClientConnection connection) {
				cancelTimeout.run();
				try {
					connection.addCloseListener((closed) -> removeIdleConnection(call.target(), connection));
					ServerConnection opened = new ServerConnection(connection, connectThread.opening());
					connection.getIoThread().execute(() -> running.send(opened));
				}
				catch (RuntimeException | Error ex) {
					IoUtils.safeClose(connection);
					running.onUnexpected(ex);
				}
			}

			@Override
			public void failed(IOException ex) {
				cancelTimeout.run();
				thread.execute(() -> running.fail(ex));
			}

		};
		try {
			UndertowClient.getInstance()
				.connect(callback, call.target(), connectThread, this.buffers,
						OptionMap.builder()
							.set(Options.TCP_NODELAY, true)
							.set(UndertowOptions.ENABLE_HTTP2, false)
							.getMap());
		}
		catch (RuntimeException | Error ex) {
			// Whoever started the call may be handling another request.
			LOGGER.error("Opening a connection to {} failed unexpectedly", call.target(), ex);
			callback.failed(new UnexpectedCallException(call.target().getAuthority(), ex));
		}
	}

	/**
	 * Runs a task on one of the client's I/O threads after a delay.
	 * @param delayMs delay in ms
	 * @param task the task
	 * @return cancels the task
	 */
	public Runnable after(long delayMs, Runnable task) {
		return this.worker.getIoThread().executeAfter(task, delayMs, TimeUnit.MILLISECONDS)::remove;
	}

	/**
	 * Runs the action of a time-out on one of the client's I/O threads. If the timer is
	 * late, the thread was busy, and what has arrived is read first.
	 * @param timeoutMs time until the action, in ms
	 * @param action the action; it does nothing if what it waits for has happened
	 * @return cancels the action
	 */
	Runnable afterReading(long timeoutMs, Runnable action) {
		return afterReading(this.worker.getIoThread(), timeoutMs, action);
	}

	private static Runnable afterReading(XnioIoThread thread, long timeoutMs, Runnable action) {
		long dueAtMs = MonotonicClock.SYSTEM.nowMs() + timeoutMs;
		return thread.executeAfter(() -> {
			if (MonotonicClock.SYSTEM.nowMs() - dueAtMs <= MAX_TIMER_DELAY_MS) {
				action.run();
			}
			else {
				thread.executeAfter(action, MAX_TIMER_DELAY_MS, TimeUnit.MILLISECONDS);
			}
		}, timeoutMs, TimeUnit.MILLISECONDS)::remove;
	}

	private @Nullable ServerConnection takeIdleConnection(URI target) {
		Deque<IdleConnection> connections = this.idleConnections.get(target);
		long nowMs = MonotonicClock.SYSTEM.nowMs();
		while (connections != null) {
			IdleConnection pooled = connections.pollLast();
			if (pooled == null) {
				return null;
			}
			ClientConnection connection = pooled.connection().connection();
			if (connection.isOpen() && nowMs < pooled.reusableUntilMs()) {
				return pooled.connection();
			}
			IoUtils.safeClose(connection);
		}
		return null;
	}

	private void removeIdleConnection(URI target, ClientConnection connection) {
		Deque<IdleConnection> connections = this.idleConnections.get(target);
		if (connections != null) {
			connections.removeIf((pooled) -> pooled.connection().connection() == connection);
		}
	}

	@Override
	public MemoryBudget memory() {
		return this.memory;
	}

	@Override
	public ByteBufferPool buffers() {
		return this.buffers;
	}

	PooledByteBuffer allocate() {
		return this.buffers.allocate();
	}

	void returnToPool(URI target, ServerConnection connection, long keepAliveMs) {
		Deque<IdleConnection> connections = this.idleConnections.computeIfAbsent(target,
				(key) -> new ConcurrentLinkedDeque<>());
		if (!connection.connection().isOpen() || connections.size() >= MAX_IDLE_CONNECTIONS_PER_TARGET) {
			IoUtils.safeClose(connection.connection());
			return;
		}
		connections.addLast(new IdleConnection(connection, MonotonicClock.SYSTEM.nowMs() + keepAliveMs));
	}

	@Override
	public void close() {
		this.idleConnections.values()
			.forEach((connections) -> connections
				.forEach((pooled) -> IoUtils.safeClose(pooled.connection().connection())));
		this.worker.shutdown();
	}

	/**
	 * A pooled connection without a request in progress.
	 *
	 * @param connection the connection
	 * @param reusableUntilMs time of the monotonic clock until which it may be reused, in
	 * ms
	 */
	private record IdleConnection(ServerConnection connection, long reusableUntilMs) {

	}

}
