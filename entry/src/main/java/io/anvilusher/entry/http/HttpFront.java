package io.anvilusher.entry.http;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import org.xnio.Options;

import io.anvilusher.adapters.http.CallerListener;
import io.anvilusher.adapters.http.RequestsInHand;
import io.anvilusher.adapters.metrics.Meters;
import io.anvilusher.adapters.process.MonotonicClock;
import io.anvilusher.entry.EntrySettings;
import io.anvilusher.model.config.Configuration;
import io.anvilusher.model.request.RefusalReason;

/**
 * The HTTP interface for callers.
 */
public final class HttpFront {

	private static final int IO_THREADS = 4;

	/** Nothing is run on worker threads, so that no caller can hold one. */
	private static final int WORKER_THREADS = 1;

	/** Connections that may wait to be accepted. */
	private static final int BACKLOG = 4096;

	private static final int IDLE_CONNECTION_MS = 60_000;

	private static final long QUIET_MS = 300;

	/** Time into a drain after which requests that still arrive are refused. */
	private static final long REFUSE_AFTER_MS = 10_000;

	private final Undertow undertow;

	private final FilterChain chain;

	private final Supplier<Optional<Configuration>> configuration;

	private final MonotonicClock clock;

	private final Meters meters;

	private final RequestsInHand inHand;

	private volatile long lastRequestAtMs;

	private volatile long refuseFromMs;

	/**
	 * Creates the interface; it takes no connections yet.
	 * @param settings settings of the entry
	 * @param chain the filters of a request
	 * @param configuration the configuration in force
	 * @param clock the clock
	 * @param meters counts requests
	 */
	public HttpFront(EntrySettings settings, FilterChain chain, Supplier<Optional<Configuration>> configuration,
			MonotonicClock clock, Meters meters) {
		this.chain = chain;
		this.configuration = configuration;
		this.clock = clock;
		this.meters = meters;
		this.inHand = new RequestsInHand(meters);
		this.undertow = CallerListener
			.builder(settings.httpAddress(),
					new CallerListener.Limits(settings.maxHeadBytes(), settings.maxBodyBytes(),
							settings.callerTimeoutMs(), IDLE_CONNECTION_MS),
					BACKLOG)
			.setIoThreads(IO_THREADS)
			.setWorkerThreads(WORKER_THREADS)
			.setSocketOption(Options.READ_TIMEOUT, settings.callerTimeoutMs())
			.setSocketOption(Options.WRITE_TIMEOUT, settings.callerTimeoutMs())
			.setHandler(this::handle)
			.build();
	}

	/**
	 * Starts to take connections.
	 */
	public void start() {
		this.undertow.start();
	}

	/**
	 * Returns the port that callers connect to.
	 * @return the port
	 */
	public int port() {
		return ((InetSocketAddress) this.undertow.getListenerInfo().get(0).getAddress()).getPort();
	}

	private void handle(HttpServerExchange http) {
		this.lastRequestAtMs = this.clock.nowMs();
		this.inHand.add(http);
		http.dispatch(SameThreadExecutor.INSTANCE, () -> accept(http));
	}

	private void accept(HttpServerExchange http) {
		String requestId = RequestIds.of(http);
		UndertowResponseSink sink = new UndertowResponseSink(http, requestId);
		if (this.inHand.isDraining() && this.clock.nowMs() > this.refuseFromMs) {
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
	 * Waits for the requests in hand and those that still arrive. Callers that go on
	 * sending are refused after a while.
	 * @param timeoutMs longest time to wait
	 * @return whether all requests ended
	 * @throws InterruptedException if the thread is interrupted
	 */
	public boolean drain(long timeoutMs) throws InterruptedException {
		// Undertow closes the open connections when a listener is suspended, so it stays
		// open, and the balancer stops sending to an entry that is not ready.
		this.inHand.startDraining();
		long untilMs = this.clock.nowMs() + timeoutMs;
		this.refuseFromMs = this.clock.nowMs() + REFUSE_AFTER_MS;
		while (this.inHand.count() > 0 || this.clock.nowMs() - this.lastRequestAtMs < QUIET_MS) {
			if (this.clock.nowMs() > untilMs) {
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
