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
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * Makes HTTP calls over Undertow's client and keeps connections that can serve another
 * call.
 */
public final class StreamingHttpClient implements AutoCloseable {

	private static final int BUFFER_BYTES = 16 * 1024;

	private static final int MAX_IDLE_PER_TARGET = 256;

	private final XnioWorker worker;

	private final ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);

	private final Map<URI, Deque<ClientConnection>> idle = new ConcurrentHashMap<>();

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
	 * Starts a call.
	 * @param call the call
	 * @param listener receives what happens
	 * @return the call under way
	 */
	public RunningCall start(HttpCall call, HttpCallListener listener) {
		ClientConnection kept = call.freshConnection() ? null : takeIdle(call.target());
		if (kept != null) {
			ClientCall running = new ClientCall(this, call, listener, kept.getIoThread());
			kept.getIoThread().execute(() -> running.send(kept));
			return running;
		}
		XnioIoThread thread = this.worker.getIoThread();
		ClientCall running = new ClientCall(this, call, listener, thread);
		connect(call, thread, running);
		return running;
	}

	private void connect(HttpCall call, XnioIoThread thread, ClientCall running) {
		UndertowClient.getInstance().connect(new ClientCallback<>() {

			@Override
			public void completed(ClientConnection connection) {
				connection.addCloseListener((closed) -> forget(call.target(), connection));
				connection.getIoThread().execute(() -> running.send(connection));
			}

			@Override
			public void failed(IOException ex) {
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
		Deque<ClientConnection> connections = this.idle.get(target);
		while (connections != null) {
			ClientConnection connection = connections.pollLast();
			if (connection == null || connection.isOpen()) {
				return connection;
			}
		}
		return null;
	}

	private void forget(URI target, ClientConnection connection) {
		Deque<ClientConnection> connections = this.idle.get(target);
		if (connections != null) {
			connections.remove(connection);
		}
	}

	PooledByteBuffer allocate() {
		return this.buffers.allocate();
	}

	void keep(URI target, ClientConnection connection) {
		Deque<ClientConnection> connections = this.idle.computeIfAbsent(target, (key) -> new ConcurrentLinkedDeque<>());
		if (!connection.isOpen() || connections.size() >= MAX_IDLE_PER_TARGET) {
			IoUtils.safeClose(connection);
			return;
		}
		connections.addLast(connection);
	}

	@Override
	public void close() {
		this.idle.values().forEach((connections) -> connections.forEach(IoUtils::safeClose));
		this.worker.shutdown();
	}

}
