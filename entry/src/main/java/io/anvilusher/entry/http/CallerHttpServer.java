package io.anvilusher.entry.http;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import org.xnio.Options;

import io.anvilusher.adapters.http.ActiveRequests;
import io.anvilusher.adapters.http.CallerServers;
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

	private final Undertow undertow;

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
		this.undertow = CallerServers
			.builder(settings.httpAddress(),
					new CallerServers.Limits(settings.maxHeadBytes(), settings.maxBodyBytes(),
							settings.callerTimeoutMs(), IDLE_CONNECTION_TIMEOUT_MS),
					ACCEPT_BACKLOG)
			.setIoThreads(IO_THREADS)
			.setWorkerThreads(WORKER_THREADS)
			.setSocketOption(Options.READ_TIMEOUT, settings.callerTimeoutMs())
			.setSocketOption(Options.WRITE_TIMEOUT, settings.callerTimeoutMs())
			.setHandler(this::handle)
			.build();
	}

	/**
	 * Starts to accept connections.
	 */
	public void start() {
		this.undertow.start();
	}

	/**
	 * Returns the port that callers connect to.
	 * @return the port, also if the configured port is 0
	 */
	public int port() {
		return ((InetSocketAddress) this.undertow.getListenerInfo().get(0).getAddress()).getPort();
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
		this.undertow.stop();
	}

}
