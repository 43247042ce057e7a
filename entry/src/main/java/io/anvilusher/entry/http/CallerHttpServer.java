package io.anvilusher.entry.http;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import org.jspecify.annotations.Nullable;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

import io.anvilusher.adapters.http.ActiveRequests;
import io.anvilusher.adapters.http.HttpListener;
import io.anvilusher.adapters.http.HttpListener.ListenerOptions;
import io.anvilusher.adapters.http.ListenerLimits;
import io.anvilusher.adapters.http.ListenerLimits.RequestLimits;
import io.anvilusher.adapters.metrics.Meters;
import io.anvilusher.adapters.process.MonotonicClock;
import io.anvilusher.entry.EntrySettings;
import io.anvilusher.model.config.Configuration;
import io.anvilusher.model.request.RefusalReason;

/**
 * The HTTP server for callers.
 */
public final class CallerHttpServer {

	private static final int IO_THREADS = 4;

	/**
	 * Requests are handled on I/O threads only, so that no caller can occupy a worker.
	 */
	private static final int WORKER_THREADS = 1;

	/** Number of connections that may wait to be accepted. */
	private static final int ACCEPT_BACKLOG = 4096;

	private static final int IDLE_CONNECTION_TIMEOUT_MS = 60_000;

	/** Time without a new request after which a drain may end. */
	private static final long DRAIN_QUIET_PERIOD_MS = 300;

	/** Time after the start of a drain from which on new requests are refused. */
	private static final long DRAIN_REFUSE_AFTER_MS = 10_000;

	private final EntrySettings settings;

	private final XnioWorker worker;

	private volatile @Nullable HttpListener listener;

	private final FilterChain chain;

	private final Supplier<Optional<Configuration>> configuration;

	private final MonotonicClock clock;

	private final Meters meters;

	private final ActiveRequests activeRequests;

	private volatile long lastRequestAtMs;

	private volatile long refuseFromMs;

	/**
	 * Creates the server, which accepts no connections until it is started.
	 * @param settings settings of the entry
	 * @param chain the filters that each request passes
	 * @param configuration the configuration in force
	 * @param clock the clock by which requests and drains are timed
	 * @param meters counts active requests and refusals
	 */
	public CallerHttpServer(EntrySettings settings, FilterChain chain, Supplier<Optional<Configuration>> configuration,
			MonotonicClock clock, Meters meters) {
		this.chain = chain;
		this.configuration = configuration;
		this.clock = clock;
		this.meters = meters;
		this.activeRequests = new ActiveRequests(meters);
		this.settings = settings;
		this.worker = createWorker();
	}

	private static XnioWorker createWorker() {
		try {
			return Xnio.getInstance()
				.createWorker(OptionMap.builder()
					.set(Options.WORKER_IO_THREADS, IO_THREADS)
					.set(Options.WORKER_NAME, "callers")
					.set(Options.WORKER_TASK_CORE_THREADS, WORKER_THREADS)
					.set(Options.WORKER_TASK_MAX_THREADS, WORKER_THREADS)
					.set(Options.TCP_NODELAY, true)
					.getMap());
		}
		catch (IOException ex) {
			throw new UncheckedIOException("Cannot start the threads of the HTTP server", ex);
		}
	}

	private static ListenerLimits limits(EntrySettings settings) {
		return new ListenerLimits("callers", settings.shares().callers(),
				(long) (Runtime.getRuntime().maxMemory() * ListenerLimits.CALLER_HEAD_HEAP_SHARE),
				new RequestLimits(settings.maxHeadBytes(), RequestLimits.DEFAULT_HEAD_FIELDS,
						RequestLimits.DEFAULT_QUERY_PARAMETERS, settings.maxBodyBytes(),
						RequestLimits.DEFAULT_PIPELINED),
				settings.callerTimeoutMs(), IDLE_CONNECTION_TIMEOUT_MS, ListenerLimits.DEFAULT_STALLED_TIMEOUT_MS);
	}

	/**
	 * Starts to accept connections.
	 */
	public void start() {
		ListenerOptions options = new ListenerOptions(OptionMap.EMPTY,
				OptionMap.builder()
					.set(Options.BACKLOG, ACCEPT_BACKLOG)
					.set(Options.READ_TIMEOUT, this.settings.callerTimeoutMs())
					.set(Options.WRITE_TIMEOUT, this.settings.callerTimeoutMs())
					.getMap());
		this.listener = HttpListener.start(this.settings.httpAddress(), this.worker, limits(this.settings), options,
				this.meters, this::handle);
	}

	/**
	 * Returns the port that callers connect to.
	 * @return the port, also if the configured port is 0
	 */
	public int port() {
		return started().port();
	}

	private HttpListener started() {
		HttpListener current = this.listener;
		if (current == null) {
			throw new IllegalStateException("The server is not started");
		}
		return current;
	}

	private void handle(HttpServerExchange http) {
		this.lastRequestAtMs = this.clock.nowMs();
		this.activeRequests.add(http);
		http.dispatch(SameThreadExecutor.INSTANCE, () -> accept(http));
	}

	private void accept(HttpServerExchange http) {
		String requestId = RequestIds.of(http);
		UndertowResponseSink sink = new UndertowResponseSink(http, requestId);
		if (this.activeRequests.isDraining() && this.clock.nowMs() > this.refuseFromMs) {
			refuse(sink, RefusalReason.ENTRY_DRAINING);
			return;
		}
		Optional<Configuration> current = this.configuration.get();
		if (current.isEmpty()) {
			refuse(sink, RefusalReason.NO_CONFIGURATION);
			return;
		}
		this.chain.next(new CallerExchange(http, sink, requestId, current.get(), this.clock.nowMs(), this.meters));
	}

	private void refuse(UndertowResponseSink sink, RefusalReason reason) {
		this.meters.refused("", reason);
		sink.refuse(reason, "");
	}

	/**
	 * Waits until the active requests and those that still arrive have ended. New
	 * requests are accepted for the first 10 s of the drain and refused afterwards.
	 * @param timeoutMs longest time to wait
	 * @return whether all requests have ended
	 * @throws InterruptedException if the thread is interrupted while it waits
	 */
	public boolean drain(long timeoutMs) throws InterruptedException {
		// The listener stays open, because Undertow closes the open connections when a
		// listener is suspended. The load balancer stops sending to an entry that is not
		// ready.
		this.activeRequests.startDraining();
		long deadlineMs = this.clock.nowMs() + timeoutMs;
		this.refuseFromMs = this.clock.nowMs() + DRAIN_REFUSE_AFTER_MS;
		while (this.activeRequests.count() > 0 || this.clock.nowMs() - this.lastRequestAtMs < DRAIN_QUIET_PERIOD_MS) {
			if (this.clock.nowMs() > deadlineMs) {
				return false;
			}
			TimeUnit.MILLISECONDS.sleep(10);
		}
		return true;
	}

	/**
	 * Closes all connections.
	 */
	public void stop() {
		started().close();
		this.worker.shutdown();
	}

}
