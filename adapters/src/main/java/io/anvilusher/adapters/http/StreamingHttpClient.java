package io.anvilusher.adapters.http;

import java.io.IOException;
import java.net.URI;
import java.util.Deque;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

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

import io.anvilusher.adapters.process.MonotonicClock;
import io.anvilusher.logic.admission.MemoryBudget;

/**
 * Makes HTTP calls over Undertow's client. Responses are passed on as they arrive, and
 * connections are pooled for reuse.
 */
public final class StreamingHttpClient implements AutoCloseable {

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

	/** Interval of the checks of calls in progress for heads without end. */
	private static final long OVERHEAD_CHECK_INTERVAL_MS = 50;

	private final Map<URI, Deque<IdleConnection>> idleConnections = new ConcurrentHashMap<>();

	private final Map<XnioIoThread, YieldingIoThread> connectThreads = new ConcurrentHashMap<>();

	private final Set<ClientCall> runningCalls = ConcurrentHashMap.newKeySet();

	private final AtomicBoolean checkScheduled = new AtomicBoolean();

	private volatile boolean closed;

	private final MemoryBudget memory;

	private StreamingHttpClient(XnioWorker worker, MemoryBudget memory) {
		this.worker = worker;
		this.memory = memory;
	}

	/**
	 * Creates a client whose responses in memory use a fixed share of the heap.
	 * @param name name of its I/O threads
	 * @param ioThreads number of its I/O threads
	 * @return the client
	 */
	public static StreamingHttpClient create(String name, int ioThreads) {
		try {
			return new StreamingHttpClient(Xnio.getInstance()
				.createWorker(OptionMap.builder()
					.set(Options.WORKER_IO_THREADS, ioThreads)
					.set(Options.WORKER_NAME, name)
					.set(Options.WORKER_TASK_CORE_THREADS, 1)
					.set(Options.WORKER_TASK_MAX_THREADS, 1)
					.set(Options.TCP_NODELAY, true)
					.set(Options.THREAD_DAEMON, true)
					.getMap()), MemoryBudget.ofHeap(Runtime.getRuntime().maxMemory()));
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
	 * @return the client
	 */
	public static StreamingHttpClient on(XnioWorker worker, MemoryBudget memory) {
		return new StreamingHttpClient(worker, memory);
	}

	/**
	 * Loads the providers of Undertow's client from their jar files. A process calls this
	 * before it starts its threads, so that jar files are not read during the first call
	 * while other threads run.
	 */
	public static void loadProviders() {
		UndertowClient.getInstance();
	}

	/**
	 * Starts a call.
	 * @param call the call
	 * @param listener receives the events of the call
	 * @return handle of the call in progress
	 */
	public RunningCall start(HttpCall call, HttpCallListener listener) {
		ClientConnection pooled = call.newConnection() ? null : takeIdleConnection(call.target());
		if (pooled != null) {
			ClientCall running = new ClientCall(this, call, listener, pooled.getIoThread());
			if (Thread.currentThread() == pooled.getIoThread()) {
				running.send(pooled);
			}
			else {
				pooled.getIoThread().execute(() -> running.send(pooled));
			}
			return running;
		}
		XnioIoThread thread = this.worker.getIoThread();
		ClientCall running = new ClientCall(this, call, listener, thread);
		connect(call, thread, running);
		return running;
	}

	private void connect(HttpCall call, XnioIoThread thread, ClientCall running) {
		Runnable cancelTimeout = afterReading(thread, CONNECT_TIMEOUT_MS,
				() -> running.onConnectTimeout(CONNECT_TIMEOUT_MS));
		UndertowClient.getInstance().connect(new ClientCallback<>() {

			@Override
			public void completed(ClientConnection connection) {
				cancelTimeout.run();
				connection.addCloseListener((closed) -> removeIdleConnection(call.target(), connection));
				connection.getIoThread().execute(() -> running.send(connection));
			}

			@Override
			public void failed(IOException ex) {
				cancelTimeout.run();
				thread.execute(() -> running.fail(ex));
			}

		}, call.target(), this.connectThreads.computeIfAbsent(thread, YieldingIoThread::new), this.buffers,
				OptionMap.builder()
					.set(Options.TCP_NODELAY, true)
					.set(UndertowOptions.ENABLE_HTTP2, false)
					.set(UndertowOptions.ENABLE_STATISTICS, true)
					.getMap());
	}

	void onStarted(ClientCall call) {
		this.runningCalls.add(call);
		scheduleCheck();
	}

	void onEnded(ClientCall call) {
		this.runningCalls.remove(call);
	}

	private void scheduleCheck() {
		if (this.closed || !this.checkScheduled.compareAndSet(false, true)) {
			return;
		}
		try {
			after(OVERHEAD_CHECK_INTERVAL_MS, this::checkRunningCalls);
		}
		catch (RejectedExecutionException ex) {
			// The I/O threads may end between the check of the flag and this call.
			if (!this.closed) {
				throw ex;
			}
			LOGGER.debug("The client is closed; the calls in progress are no longer checked");
		}
	}

	private void checkRunningCalls() {
		this.checkScheduled.set(false);
		this.runningCalls.forEach(ClientCall::checkOverhead);
		if (!this.runningCalls.isEmpty()) {
			scheduleCheck();
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

	private @Nullable ClientConnection takeIdleConnection(URI target) {
		Deque<IdleConnection> connections = this.idleConnections.get(target);
		long nowMs = MonotonicClock.SYSTEM.nowMs();
		while (connections != null) {
			IdleConnection pooled = connections.pollLast();
			if (pooled == null) {
				return null;
			}
			if (pooled.connection().isOpen() && nowMs < pooled.reusableUntilMs()) {
				return pooled.connection();
			}
			IoUtils.safeClose(pooled.connection());
		}
		return null;
	}

	private void removeIdleConnection(URI target, ClientConnection connection) {
		Deque<IdleConnection> connections = this.idleConnections.get(target);
		if (connections != null) {
			connections.removeIf((pooled) -> pooled.connection() == connection);
		}
	}

	MemoryBudget memory() {
		return this.memory;
	}

	PooledByteBuffer allocate() {
		return this.buffers.allocate();
	}

	void returnToPool(URI target, ClientConnection connection, long keepAliveMs) {
		Deque<IdleConnection> connections = this.idleConnections.computeIfAbsent(target,
				(key) -> new ConcurrentLinkedDeque<>());
		if (!connection.isOpen() || connections.size() >= MAX_IDLE_CONNECTIONS_PER_TARGET) {
			IoUtils.safeClose(connection);
			return;
		}
		connections.addLast(new IdleConnection(connection, MonotonicClock.SYSTEM.nowMs() + keepAliveMs));
	}

	@Override
	public void close() {
		this.closed = true;
		this.idleConnections.values()
			.forEach((connections) -> connections.forEach((pooled) -> IoUtils.safeClose(pooled.connection())));
		this.worker.shutdown();
	}

	/**
	 * A pooled connection without a request in progress.
	 *
	 * @param connection the connection
	 * @param reusableUntilMs time of the monotonic clock until which it may be reused, in
	 * ms
	 */
	private record IdleConnection(ClientConnection connection, long reusableUntilMs) {

	}

}
