package io.anvilusher.adapters.http;

import java.io.IOException;
import java.net.URI;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.TimeUnit;

import io.undertow.UndertowOptions;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.DefaultByteBufferPool;
import org.jspecify.annotations.Nullable;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

import io.anvilusher.adapters.process.MonotonicClock;

/**
 * Makes HTTP calls over Undertow's client and keeps connections that can serve another
 * call.
 */
public final class StreamingHttpClient implements AutoCloseable {

	private static final int BUFFER_BYTES = 16 * 1024;

	private static final int MAX_IDLE_PER_TARGET = 256;

	private final XnioWorker worker;

	private final ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);

	/**
	 * Idle time after which a connection is not used again, in ms. Source: common server
	 * defaults.
	 */
	static final long DEFAULT_KEEP_ALIVE_MS = 4_000;

	/**
	 * Time for a connection to open, in ms. Source: some round trips between data
	 * centres.
	 */
	private static final long CONNECT_TIMEOUT_MS = 700;

	private final Map<URI, Deque<Idle>> idle = new ConcurrentHashMap<>();

	private StreamingHttpClient(XnioWorker worker) {
		this.worker = worker;
	}

	/**
	 * Creates a client.
	 * @param name name of its threads
	 * @param ioThreads number of its threads
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
					.getMap()));
		}
		catch (IOException ex) {
			throw new IllegalStateException("Cannot start client threads", ex);
		}
	}

	/**
	 * Creates a client on the threads of a server, so that both sides of a request are
	 * handled by one thread.
	 * @param worker the threads
	 * @return the client
	 */
	public static StreamingHttpClient on(XnioWorker worker) {
		return new StreamingHttpClient(worker);
	}

	/**
	 * Looks the providers of the client library up in its jars. A process calls it before
	 * it starts its threads, so that the first call of one of them does not read jars
	 * beside the others.
	 */
	public static void loadProviders() {
		UndertowClient.getInstance();
	}

	/**
	 * Starts a call.
	 * @param call the call
	 * @param listener receives what happens
	 * @return the call under way
	 */
	public RunningCall start(HttpCall call, HttpCallListener listener) {
		ClientConnection kept = call.freshConnection() ? null : takeIdle(call.target());
		if (kept != null) {
			ClientCall running = new ClientCall(this, call, listener, kept.getIoThread());
			if (Thread.currentThread() == kept.getIoThread()) {
				running.send(kept);
			}
			else {
				kept.getIoThread().execute(() -> running.send(kept));
			}
			return running;
		}
		XnioIoThread thread = this.worker.getIoThread();
		ClientCall running = new ClientCall(this, call, listener, thread);
		connect(call, thread, running);
		return running;
	}

	private void connect(HttpCall call, XnioIoThread thread, ClientCall running) {
		XnioExecutor.Key timeout = thread.executeAfter(() -> running.onConnectTimeout(CONNECT_TIMEOUT_MS),
				CONNECT_TIMEOUT_MS, TimeUnit.MILLISECONDS);
		UndertowClient.getInstance().connect(new ClientCallback<>() {

			@Override
			public void completed(ClientConnection connection) {
				timeout.remove();
				connection.addCloseListener((closed) -> forget(call.target(), connection));
				connection.getIoThread().execute(() -> running.send(connection));
			}

			@Override
			public void failed(IOException ex) {
				timeout.remove();
				thread.execute(() -> running.fail(ex));
			}

		}, call.target(), thread, this.buffers,
				OptionMap.builder().set(Options.TCP_NODELAY, true).set(UndertowOptions.ENABLE_HTTP2, false).getMap());
	}

	/**
	 * Runs a task later on one of the client's threads.
	 * @param delayMs the delay
	 * @param task the task
	 * @return takes the task back
	 */
	public Runnable after(long delayMs, Runnable task) {
		return this.worker.getIoThread().executeAfter(task, delayMs, TimeUnit.MILLISECONDS)::remove;
	}

	private @Nullable ClientConnection takeIdle(URI target) {
		Deque<Idle> connections = this.idle.get(target);
		long nowMs = MonotonicClock.SYSTEM.nowMs();
		while (connections != null) {
			Idle kept = connections.pollLast();
			if (kept == null) {
				return null;
			}
			if (kept.connection().isOpen() && nowMs < kept.untilMs()) {
				return kept.connection();
			}
			IoUtils.safeClose(kept.connection());
		}
		return null;
	}

	private void forget(URI target, ClientConnection connection) {
		Deque<Idle> connections = this.idle.get(target);
		if (connections != null) {
			connections.removeIf((kept) -> kept.connection() == connection);
		}
	}

	PooledByteBuffer allocate() {
		return this.buffers.allocate();
	}

	void keep(URI target, ClientConnection connection, long keepAliveMs) {
		Deque<Idle> connections = this.idle.computeIfAbsent(target, (key) -> new ConcurrentLinkedDeque<>());
		if (!connection.isOpen() || connections.size() >= MAX_IDLE_PER_TARGET) {
			IoUtils.safeClose(connection);
			return;
		}
		connections.addLast(new Idle(connection, MonotonicClock.SYSTEM.nowMs() + keepAliveMs));
	}

	@Override
	public void close() {
		this.idle.values()
			.forEach((connections) -> connections.forEach((kept) -> IoUtils.safeClose(kept.connection())));
		this.worker.shutdown();
	}

	/**
	 * A connection without a request.
	 *
	 * @param connection the connection
	 * @param untilMs time until which it may be used
	 */
	private record Idle(ClientConnection connection, long untilMs) {

	}

}
