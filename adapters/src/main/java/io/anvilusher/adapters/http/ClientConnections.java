package io.anvilusher.adapters.http;

import java.util.Deque;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.ChannelListener;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;

import io.anvilusher.adapters.metrics.Meters;
import io.anvilusher.adapters.process.MonotonicClock;
import io.anvilusher.logic.admission.ConnectionBudget;
import io.anvilusher.logic.admission.ConnectionBudget.Limit;
import io.anvilusher.logic.admission.ConnectionBudget.Stage;
import io.anvilusher.logic.admission.ConnectionBudget.Victim;

/**
 * The open connections of the clients of one listener. It closes those that the
 * listener's limits leave no room for, counts them and logs that it does.
 */
final class ClientConnections {

	private static final Logger LOGGER = LoggerFactory.getLogger(ClientConnections.class);

	/** Interval of the checks for connections without progress. */
	private static final long CHECK_INTERVAL_MS = 1_000;

	/** Shortest time between two log lines. */
	private static final long LOG_INTERVAL_MS = 10_000;

	/**
	 * Estimated memory of one parsed header field or query parameter besides its bytes.
	 * With Undertow's collections it is 200 to 250 bytes.
	 */
	private static final int FIELD_OVERHEAD_BYTES = 256;

	/** Shortest field that the memory of an incomplete head is estimated by. */
	private static final int SHORT_FIELD_BYTES = 8;

	private final ListenerLimits limits;

	private final Meters meters;

	private final MonotonicClock clock;

	private final ConnectionBudget<ClientConnection> budget;

	private final Map<StreamConnection, ClientConnection> byChannel = new ConcurrentHashMap<>();

	private final AtomicLong closedSinceLog = new AtomicLong();

	private final AtomicLong nextLogAtMs = new AtomicLong(Long.MIN_VALUE);

	private volatile boolean stopped;

	ClientConnections(ListenerLimits limits, Meters meters, MonotonicClock clock) {
		this.limits = limits;
		this.meters = meters;
		this.clock = clock;
		this.budget = new ConnectionBudget<>(limits.maxConnections(), limits.maxHeadMemoryBytes());
		meters.gauge("anvilusher.client.connections", this.budget, ConnectionBudget::connections, "listener",
				limits.listener());
		meters.gauge("anvilusher.client.connections.max", limits, ListenerLimits::maxConnections, "listener",
				limits.listener());
		meters.gauge("anvilusher.client.head.bytes", this.budget, ConnectionBudget::heldHeadBytes, "listener",
				limits.listener());
	}

	long nowMs() {
		return this.clock.nowMs();
	}

	/**
	 * Adds an accepted connection and passes it on, unless it has to be closed.
	 * @param channel the connection
	 * @param next handles the connection
	 */
	void open(StreamConnection channel, ChannelListener<StreamConnection> next) {
		ClientConnection connection = new ClientConnection(channel, this);
		Optional<Victim<ClientConnection>> victim = this.budget.add(connection, nowMs());
		victim.ifPresent(this::close);
		if (victim.filter((selected) -> selected.connection() == connection).isPresent()) {
			return;
		}
		this.byChannel.put(channel, connection);
		connection.observe();
		next.handleEvent(channel);
		// Undertow has set its close listener by now. A channel has only one.
		ChannelListener<? super StreamConnection> previous = channel.getCloseListener();
		channel.setCloseListener((closed) -> {
			onClosed(connection);
			if (previous != null) {
				previous.handleEvent(closed);
			}
		});
		if (!channel.isOpen()) {
			onClosed(connection);
		}
	}

	private void onClosed(ClientConnection connection) {
		this.budget.remove(connection);
		this.byChannel.remove(connection.channel());
	}

	/**
	 * Returns a handler that follows the stages of requests.
	 * @param next handles the requests
	 * @return the handler
	 */
	HttpHandler following(HttpHandler next) {
		return (exchange) -> {
			ClientConnection connection = connectionOf(exchange);
			// A connection that was closed while its head was read must not start a
			// request.
			if (connection == null || !connection.channel().isOpen()) {
				return;
			}
			// While the request does not count as started, its connection may be closed
			// as
			// well.
			closeAll(this.budget.resizeHead(connection, parsedBytes(connection, exchange)));
			if (!connection.channel().isOpen()) {
				return;
			}
			int pipelined = connection.onHead(exchange);
			exchange.addExchangeCompleteListener((ended, rest) -> {
				connection.onEnd();
				this.budget.resizeHead(connection, 0);
				rest.proceed();
			});
			if (pipelined > this.limits.request().maxPipelined()) {
				reject(connection, Limit.PIPELINED);
			}
			else if (this.limits.request().maxBodyBytes() == 0 && !exchange.isRequestComplete()) {
				reject(connection, Limit.BODY_SIZE);
			}
			else {
				next.handleRequest(exchange);
			}
		};
	}

	// The request has not been handed to a handler, so it is not sent to a server.
	private void reject(ClientConnection connection, Limit limit) {
		this.budget.remove(connection);
		countAndClose(new Victim<>(connection, Stage.HEAD, limit));
	}

	private @Nullable ClientConnection connectionOf(HttpServerExchange exchange) {
		return (exchange.getConnection() instanceof AbstractServerConnection connection)
				? this.byChannel.get(connection.getChannel()) : null;
	}

	private static long parsedBytes(ClientConnection connection, HttpServerExchange exchange) {
		long headers = exchange.getRequestHeaders()
			.getHeaderNames()
			.stream()
			.mapToLong((name) -> exchange.getRequestHeaders().count(name))
			.sum();
		long fields = headers + exchange.getQueryParameters().values().stream().mapToLong(Deque::size).sum();
		return connection.headBytes() + fields * FIELD_OVERHEAD_BYTES;
	}

	void onHeadGrowth(ClientConnection connection) {
		long maxFields = (long) this.limits.request().maxHeadFields() + this.limits.request().maxQueryParameters();
		long fields = Math.min(maxFields, connection.headBytes() / SHORT_FIELD_BYTES);
		closeAll(this.budget.resizeHead(connection, connection.headBytes() + fields * FIELD_OVERHEAD_BYTES));
	}

	void onStage(ClientConnection connection, Stage stage) {
		this.budget.move(connection, stage, nowMs());
	}

	/**
	 * Starts to check for connections without progress.
	 * @param thread thread of the checks
	 */
	void startChecks(XnioIoThread thread) {
		thread.executeAfter(() -> {
			if (this.stopped) {
				return;
			}
			try {
				closeAll(this.budget.selectStalled(nowMs(), this.limits.stalledTimeoutMs(),
						ClientConnection::lastReceivedMs));
			}
			finally {
				startChecks(thread);
			}
		}, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
	}

	void stopChecks() {
		this.stopped = true;
	}

	private void closeAll(Iterable<Victim<ClientConnection>> victims) {
		victims.forEach(this::close);
	}

	// A body is read and its request sent to a server on the connection's thread, so only
	// that thread knows whether the request is still incomplete.
	private void close(Victim<ClientConnection> victim) {
		XnioIoThread thread = victim.connection().channel().getIoThread();
		if (thread == Thread.currentThread()) {
			closeIncomplete(victim);
		}
		else {
			thread.execute(() -> closeIncomplete(victim));
		}
	}

	private void closeIncomplete(Victim<ClientConnection> victim) {
		ClientConnection connection = victim.connection();
		boolean mayHaveRun = victim.stage() != Stage.UNREAD_RESPONSE && connection.isRequestComplete();
		if (mayHaveRun && connection.channel().isOpen()) {
			this.budget.restore(connection, nowMs()).ifPresent(this::close);
			return;
		}
		countAndClose(victim);
	}

	private void countAndClose(Victim<ClientConnection> victim) {
		this.meters
			.counter("anvilusher.client.closed", "listener", this.limits.listener(), "limit", label(victim.limit()),
					"stage", label(victim.stage()))
			.increment();
		log(victim);
		victim.connection().close();
	}

	private void log(Victim<ClientConnection> victim) {
		long closed = this.closedSinceLog.incrementAndGet();
		long nowMs = nowMs();
		long dueAtMs = this.nextLogAtMs.get();
		if (nowMs < dueAtMs || !this.nextLogAtMs.compareAndSet(dueAtMs, nowMs + LOG_INTERVAL_MS)) {
			return;
		}
		this.closedSinceLog.addAndGet(-closed);
		LOGGER.atWarn()
			.addKeyValue("listener", this.limits.listener())
			.addKeyValue("limit", label(victim.limit()))
			.addKeyValue("stage", label(victim.stage()))
			.addKeyValue("connections", this.budget.connections())
			.addKeyValue("max_connections", this.limits.maxConnections())
			.addKeyValue("head_bytes", this.budget.heldHeadBytes())
			.addKeyValue("max_head_bytes", this.limits.maxHeadMemoryBytes())
			.addKeyValue("closed_since_last_line", closed)
			.log("Connections of clients are closed because a limit is reached");
	}

	private static String label(Enum<?> value) {
		return value.name().toLowerCase(Locale.ROOT);
	}

}
