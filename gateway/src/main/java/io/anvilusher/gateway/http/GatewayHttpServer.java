package io.anvilusher.gateway.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import io.undertow.UndertowOptions;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

import io.anvilusher.adapters.http.ActiveRequests;
import io.anvilusher.adapters.http.BodyBuffer;
import io.anvilusher.adapters.http.CallerDisconnectListener;
import io.anvilusher.adapters.http.HttpListener;
import io.anvilusher.adapters.http.HttpListener.ListenerOptions;
import io.anvilusher.adapters.http.ListenerLimits;
import io.anvilusher.adapters.http.RequestBodyReader;
import io.anvilusher.adapters.http.ServerStart;
import io.anvilusher.adapters.metrics.Meters;
import io.anvilusher.adapters.process.MonotonicClock;
import io.anvilusher.gateway.allowance.AllowanceGuard;
import io.anvilusher.gateway.allowance.CountedCharge;
import io.anvilusher.gateway.allowance.RequestCharge;
import io.anvilusher.gateway.request.Dispatcher;
import io.anvilusher.gateway.request.ExchangeResponse;
import io.anvilusher.gateway.request.RequestInput;
import io.anvilusher.gateway.request.UnexpectedExceptions;
import io.anvilusher.gateway.wire.RequestHead;
import io.anvilusher.gateway.wire.WireFormat;
import io.anvilusher.logic.admission.DrainAdmission;
import io.anvilusher.logic.admission.LagAdmission;
import io.anvilusher.logic.allowance.AllowanceDecision;
import io.anvilusher.logic.routing.RouteIndex;
import io.anvilusher.model.request.RefusalReason;
import io.anvilusher.model.routing.Route;
import io.anvilusher.model.routing.RoutingTable;
import io.anvilusher.model.routing.WorkspaceLimit;

/**
 * The HTTP server for callers: matches the route, checks the key, reads the body and
 * passes the request to the dispatcher.
 */
public final class GatewayHttpServer {

	private static final Logger LOGGER = LoggerFactory.getLogger(GatewayHttpServer.class);

	/** Length of the queue of connections that are not yet accepted. */
	private static final int ACCEPT_BACKLOG = 1_024;

	/**
	 * Retry-After delay while no routing table has been read: the time of one read of the
	 * store.
	 */
	private static final long NO_TABLE_RETRY_AFTER_MS = 500;

	/** Retry-After delay while draining: the time to open a new connection. */
	private static final long DRAINING_RETRY_AFTER_MS = 20;

	/**
	 * Retry-After delay after an unexpected exception: the time to open a new connection.
	 */
	private static final long FAILED_RETRY_AFTER_MS = 20;

	/**
	 * Shortest Retry-After delay for a request whose body gets no memory: a large part of
	 * the time that a caller takes to send a body of some MB.
	 */
	private static final long NO_MEMORY_RETRY_AFTER_MS = 1_000;

	private static final long DRAIN_CHECK_INTERVAL_MS = 10;

	/** Longest wait for the last responses at the end of a drain. */
	private static final long END_REQUESTS_MS = 200;

	/**
	 * Time for a caller to read the response before its connection is closed, although it
	 * has not sent its whole request.
	 */
	private static final long CLOSE_DELAY_MS = 500;

	private final InetSocketAddress address;

	private final ListenerLimits limits;

	private final XnioWorker worker;

	private final WireFormat format;

	private final Dispatcher dispatcher;

	private final Supplier<Optional<RouteIndex>> routes;

	private final MonotonicClock clock;

	private final Meters meters;

	private final RandomGenerator random;

	private final LongSupplier lagMs;

	private final AllowanceGuard allowances;

	private final ActiveRequests activeRequests;

	private final XnioIoThread thread;

	private final Set<UnreadRequest> unreadRequests = new HashSet<>();

	private volatile @Nullable DrainAdmission drainAdmission;

	/**
	 * Creates the server; it listens only after {@link #start(long)}.
	 * @param address address to listen at
	 * @param limits limits on the clients
	 * @param worker the worker that runs the traffic thread
	 * @param format header and body formats of the deployment
	 * @param dispatcher handles the accepted requests
	 * @param routes returns the routing table in use; empty until one has been read
	 * @param clock the monotonic clock
	 * @param meters the metrics of this process
	 * @param random selects a service by the weights of a route's traffic split
	 * @param lagMs returns how late the traffic thread is now, in ms
	 * @param allowances decides whether requests are within the usage limits
	 */
	public GatewayHttpServer(InetSocketAddress address, ListenerLimits limits, XnioWorker worker, WireFormat format,
			Dispatcher dispatcher, Supplier<Optional<RouteIndex>> routes, MonotonicClock clock, Meters meters,
			RandomGenerator random, LongSupplier lagMs, AllowanceGuard allowances) {
		this.format = format;
		this.dispatcher = dispatcher;
		this.routes = routes;
		this.clock = clock;
		this.meters = meters;
		this.random = random;
		this.lagMs = lagMs;
		this.allowances = allowances;
		this.activeRequests = new ActiveRequests(meters);
		this.thread = worker.getIoThread();
		this.address = address;
		this.limits = limits;
		this.worker = worker;
	}

	/**
	 * Starts to accept connections.
	 * @param maxWaitMs longest wait for the address if it is still in use, in ms
	 * @throws IOException if the server cannot listen at its address
	 */
	public void start(long maxWaitMs) throws IOException {
		ServerStart.whenAddressIsFree(this::listen, this.address, maxWaitMs);
	}

	private HttpListener listen() {
		ListenerOptions options = new ListenerOptions(OptionMap.builder()
			.set(UndertowOptions.ALWAYS_SET_DATE, false)
			.set(UndertowOptions.ALLOW_UNESCAPED_CHARACTERS_IN_URL, true)
			.getMap(), OptionMap.create(Options.BACKLOG, ACCEPT_BACKLOG));
		return HttpListener.start(this.address, this.worker, this.limits, options, this.meters, this::handle);
	}

	private void handle(HttpServerExchange exchange) {
		this.activeRequests.add(exchange);
		exchange.dispatch(SameThreadExecutor.INSTANCE, () -> guard(exchange, () -> accept(exchange)));
	}

	// The request has not been handed to the dispatcher, so it has not been sent to a
	// server if the step throws.
	private void guard(HttpServerExchange exchange, Runnable step) {
		try {
			step.run();
		}
		catch (RuntimeException | Error ex) {
			UnexpectedExceptions.runAll(
					() -> new ExchangeResponse(exchange).endUnexpectedly(RefusalReason.GATEWAY_FAILED,
							OptionalLong.of(FAILED_RETRY_AFTER_MS)),
					() -> LOGGER.atError()
						.setCause(ex)
						.addKeyValue("request_id", this.format.requestId(exchange.getRequestHeaders()))
						.addKeyValue("host", exchange.getHostAndPort())
						.addKeyValue("path", exchange.getRequestURI())
						.log("Unexpected exception before the request was sent to a server; it is refused"),
					() -> this.meters.refused("", RefusalReason.GATEWAY_FAILED));
		}
	}

	private void accept(HttpServerExchange exchange) {
		long arrivedAtMs = this.clock.nowMs();
		RequestHead head = this.format.readRequestHead(exchange.getRequestHeaders());
		Optional<RouteIndex> index = this.routes.get();
		if (index.isEmpty()) {
			refuse(exchange, head, RefusalReason.NO_CONFIGURATION, OptionalLong.of(NO_TABLE_RETRY_AFTER_MS));
			return;
		}
		long currentLagMs = this.lagMs.getAsLong();
		if (!LagAdmission.accepts(currentLagMs, head.resumesStream())) {
			refuse(exchange, head, RefusalReason.GATEWAY_OVERLOADED,
					OptionalLong.of(LagAdmission.retryAfterMs(currentLagMs, this.random.nextDouble())));
			return;
		}
		RoutingTable table = index.get().table();
		// A CONNECT request names no resource. A server's response to it would turn its
		// connection, which other requests share, into a tunnel.
		Optional<Route> route = exchange.getRequestMethod().equals(Methods.CONNECT) ? Optional.empty()
				: index.get().find(exchange.getHostAndPort(), exchange.getRequestURI());
		if (route.isEmpty()) {
			refuse(exchange, head, RefusalReason.ROUTE_UNKNOWN, OptionalLong.empty());
			return;
		}
		long timeoutAtMs = arrivedAtMs + Math.min(route.get().timeoutMs(), head.remainingMs().orElse(Long.MAX_VALUE));
		if (!acceptsWhileDraining(timeoutAtMs)) {
			refuse(exchange, head, RefusalReason.ENTRY_DRAINING, OptionalLong.of(DRAINING_RETRY_AFTER_MS));
			return;
		}
		Optional<String> workspace = head.key().map(table.workspaceByKey()::get);
		if (workspace.isEmpty() && !route.get().allowsAnonymous() && table.requiresKeys()) {
			refuse(exchange, head, head.key().isEmpty() ? RefusalReason.KEY_MISSING : RefusalReason.KEY_UNKNOWN,
					OptionalLong.empty());
			return;
		}
		if (exchange.getRequestContentLength() > table.limits().maxBodyBytes()) {
			refuse(exchange, head, RefusalReason.BODY_TOO_LARGE, OptionalLong.empty());
			return;
		}
		String service = RouteIndex.selectService(route.get(), this.random.nextDouble());
		UnreadRequest unread = new UnreadRequest(exchange, head, timeoutAtMs,
				(body, charge) -> new RequestInput(exchange, head, body, route.get(), service, workspace,
						table.version(), arrivedAtMs, charge));
		unread.guard(() -> {
			if (!unread.tryCharge(workspace, table)) {
				return;
			}
			RequestBodyReader reader = new RequestBodyReader(exchange, this.dispatcher.client(),
					table.limits().maxBodyBytes(), unread);
			if (!reader.reserve()) {
				unread.charge.end();
				refuse(exchange, head, RefusalReason.MEMORY_EXHAUSTED, OptionalLong.of(noMemoryRetryAfterMs()));
				return;
			}
			reader.start();
			unread.awaitBody(reader);
		});
	}

	private long noMemoryRetryAfterMs() {
		return (long) (NO_MEMORY_RETRY_AFTER_MS * (1 + this.random.nextDouble()));
	}

	private boolean acceptsWhileDraining(long timeoutAtMs) {
		DrainAdmission admission = this.drainAdmission;
		return admission == null
				|| admission.accepts(this.clock.nowMs(), timeoutAtMs, this.activeRequests.hasEarlierRequests());
	}

	private void refuse(HttpServerExchange exchange, RequestHead head, RefusalReason reason,
			OptionalLong retryAfterMs) {
		this.meters.refused("", reason);
		LOGGER.atInfo()
			.addKeyValue("request_id", head.attemptId())
			.addKeyValue("host", exchange.getHostAndPort())
			.addKeyValue("path", exchange.getRequestURI())
			.addKeyValue("table_version", this.routes.get().map((index) -> index.table().version()).orElse(-1L))
			.addKeyValue("outcome", reason.code())
			.log("Request refused");
		new ExchangeResponse(exchange).refuse(reason, retryAfterMs);
	}

	/**
	 * Drains the server: waits for the active requests to finish. Each open connection is
	 * closed with the response to its next request. Later, requests are accepted only
	 * while others are waited for, and only if they will end in time. Callers of requests
	 * that are still active at the end are told so.
	 * @param acceptMs time during which all new requests are still accepted, in ms
	 * @param maxDurationMs time from now after which the method returns even if requests
	 * are still active, in ms
	 * @throws InterruptedException if the thread is interrupted
	 */
	public void drain(long acceptMs, long maxDurationMs) throws InterruptedException {
		long startMs = this.clock.nowMs();
		DrainAdmission admission = new DrainAdmission(startMs + acceptMs, startMs + maxDurationMs);
		this.drainAdmission = admission;
		this.activeRequests.startDraining();
		TimeUnit.MILLISECONDS.sleep(acceptMs);
		this.activeRequests.startLatePhase();
		while (!admission.mayEnd(this.clock.nowMs(), this.activeRequests.count())) {
			TimeUnit.MILLISECONDS.sleep(DRAIN_CHECK_INTERVAL_MS);
		}
		LOGGER.info("Drained in {} ms with {} requests left", this.clock.nowMs() - startMs,
				this.activeRequests.count());
		if (this.activeRequests.count() > 0) {
			endRequests();
		}
	}

	private void endRequests() throws InterruptedException {
		CountDownLatch ended = new CountDownLatch(1);
		this.thread.execute(() -> {
			List.copyOf(this.unreadRequests)
				.forEach((unread) -> unread.guard(() -> unread.refuseUnread(RefusalReason.ENTRY_DRAINING,
						OptionalLong.of(DRAINING_RETRY_AFTER_MS))));
			this.dispatcher.endAll();
			ended.countDown();
		});
		if (!ended.await(END_REQUESTS_MS, TimeUnit.MILLISECONDS)) {
			LOGGER.warn("The traffic thread was busy for {} ms; callers of requests that are left may get no response",
					END_REQUESTS_MS);
		}
	}

	/**
	 * A request whose body has not arrived completely. Used on the traffic thread only.
	 */
	private final class UnreadRequest implements RequestBodyReader.Listener {

		private final HttpServerExchange exchange;

		private final RequestHead head;

		private final long timeoutAtMs;

		private final BiFunction<byte[], RequestCharge, RequestInput> input;

		private RequestCharge charge = RequestCharge.NONE;

		private boolean ended;

		private Runnable cancelReading = () -> {
		};

		private Runnable cancelTimeout = () -> {
		};

		UnreadRequest(HttpServerExchange exchange, RequestHead head, long timeoutAtMs,
				BiFunction<byte[], RequestCharge, RequestInput> input) {
			this.exchange = exchange;
			this.head = head;
			this.timeoutAtMs = timeoutAtMs;
			this.input = input;
		}

		/**
		 * Charges the request to the allowance of its workspace; refuses it if it is over
		 * the allowance.
		 * @param workspace the workspace of the caller's key
		 * @param table the routing table used for the request
		 * @return whether the request was charged or its workspace has no limit
		 */
		boolean tryCharge(Optional<String> workspace, RoutingTable table) {
			Optional<WorkspaceLimit> limit = workspace.map(table.allowances()::get);
			if (limit.isEmpty()) {
				return true;
			}
			AllowanceGuard guard = GatewayHttpServer.this.allowances;
			AllowanceDecision decision = guard.admit(workspace.get(), limit.get().cost(this.head.tokens()));
			if (decision instanceof AllowanceDecision.Refused refused) {
				refuse(this.exchange, this.head, RefusalReason.ALLOWANCE_EXCEEDED,
						OptionalLong.of(refused.retryAfterMs()));
				return false;
			}
			if (decision instanceof AllowanceDecision.Admitted admitted) {
				this.charge = new CountedCharge(guard, admitted.charge());
			}
			return true;
		}

		// The body of most requests has arrived together with their head.
		void awaitBody(RequestBodyReader reader) {
			if (this.ended) {
				return;
			}
			this.cancelReading = reader::cancel;
			GatewayHttpServer server = GatewayHttpServer.this;
			server.unreadRequests.add(this);
			CallerDisconnectListener.of(this.exchange.getConnection()).set(() -> guard(this::onClosed));
			this.cancelTimeout = server.thread.executeAfter(
					() -> guard(() -> refuseUnread(RefusalReason.CALLER_TOO_SLOW, OptionalLong.empty())),
					Math.max(0, this.timeoutAtMs - server.clock.nowMs()), TimeUnit.MILLISECONDS)::remove;
		}

		// A body that arrives after the exception must not start the request.
		void guard(Runnable step) {
			GatewayHttpServer.this.guard(this.exchange, () -> {
				try {
					step.run();
				}
				catch (RuntimeException | Error ex) {
					UnexpectedExceptions.runAll(this::end, this.cancelReading, this.charge::end);
					throw ex;
				}
			});
		}

		// Otherwise the memory of the body would be held until its deadline.
		private void onClosed() {
			if (end()) {
				this.cancelReading.run();
				this.exchange.endExchange();
			}
		}

		private boolean end() {
			boolean first = !this.ended;
			if (first) {
				CallerDisconnectListener.of(this.exchange.getConnection()).clear();
			}
			this.ended = true;
			this.cancelTimeout.run();
			GatewayHttpServer.this.unreadRequests.remove(this);
			return first;
		}

		@Override
		public void onBody(byte[] body) {
			guard(() -> start(body));
		}

		private void start(byte[] body) {
			if (!end()) {
				return;
			}
			// The body may have taken until shortly before the end of the process.
			if (!acceptsWhileDraining(this.timeoutAtMs)) {
				this.charge.end();
				refuse(this.exchange, this.head, RefusalReason.ENTRY_DRAINING,
						OptionalLong.of(DRAINING_RETRY_AFTER_MS));
				return;
			}
			GatewayHttpServer.this.dispatcher.start(this.input.apply(body, this.charge));
		}

		@Override
		public void onRejected(BodyBuffer.Result reason) {
			guard(() -> {
				if (reason == BodyBuffer.Result.TOO_LARGE) {
					refuseUnread(RefusalReason.BODY_TOO_LARGE, OptionalLong.empty());
				}
				else {
					refuseUnread(RefusalReason.MEMORY_EXHAUSTED, OptionalLong.of(noMemoryRetryAfterMs()));
				}
			});
		}

		@Override
		public void onFailed(IOException cause) {
			if (!end()) {
				return;
			}
			this.charge.end();
			LOGGER.atInfo()
				.addKeyValue("request_id", this.head.attemptId())
				.addKeyValue("cause", cause.getMessage())
				.setCause(cause.getCause())
				.log("Reading the request body failed; the connection is closed");
			IoUtils.safeClose(this.exchange.getConnection());
		}

		// The rest of the body is not waited for, so the connection cannot be used again.
		void refuseUnread(RefusalReason reason, OptionalLong retryAfterMs) {
			if (!end()) {
				return;
			}
			this.charge.end();
			this.cancelReading.run();
			this.exchange.setPersistent(false);
			this.exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
			refuse(this.exchange, this.head, reason, retryAfterMs);
			GatewayHttpServer.this.thread.executeAfter(() -> IoUtils.safeClose(this.exchange.getConnection()),
					CLOSE_DELAY_MS, TimeUnit.MILLISECONDS);
		}

	}

}
