package io.anvilusher.gateway.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;
import org.xnio.XnioWorker;

import io.anvilusher.adapters.http.CallerListener;
import io.anvilusher.adapters.http.RequestsInHand;
import io.anvilusher.adapters.metrics.Meters;
import io.anvilusher.adapters.process.MonotonicClock;
import io.anvilusher.gateway.request.CallerAnswer;
import io.anvilusher.gateway.request.Dispatcher;
import io.anvilusher.gateway.request.RequestInput;
import io.anvilusher.gateway.wire.CallerHead;
import io.anvilusher.gateway.wire.WireFormat;
import io.anvilusher.logic.routing.RouteIndex;
import io.anvilusher.model.request.RefusalReason;
import io.anvilusher.model.routing.Route;
import io.anvilusher.model.routing.RoutingTable;

/**
 * The HTTP interface for callers: finds the route, checks the key, reads the body and
 * hands the request to the dispatcher.
 */
public final class GatewayFront {

	private static final Logger LOGGER = LoggerFactory.getLogger(GatewayFront.class);

	/**
	 * Time that a connection may stay without a request, in ms. Source: longer than
	 * callers keep theirs.
	 */
	private static final int IDLE_CONNECTION_MS = 120_000;

	/**
	 * Time for a request's head to arrive, in ms. Source: twice the usual limit of
	 * operators.
	 */
	private static final int HEAD_TIMEOUT_MS = 10_000;

	/** Connections that may wait to be accepted. */
	private static final int BACKLOG = 1_024;

	/** Largest head, in bytes. Source: four times the usual limit of operators. */
	private static final int MAX_HEAD_BYTES = 64 * 1024;

	/** Largest body before a routing table says less, in bytes. */
	private static final long MAX_BODY_BYTES = 64L * 1024 * 1024;

	/**
	 * Return time told while no routing table is known, in ms. Source: time of one read
	 * of the store.
	 */
	private static final long NO_TABLE_RETRY_MS = 500;

	/** Return time told while draining, in ms. Source: a new connection. */
	private static final long DRAINING_RETRY_MS = 20;

	private final Undertow undertow;

	private final WireFormat format;

	private final Dispatcher dispatcher;

	private final Supplier<Optional<RouteIndex>> routes;

	private final MonotonicClock clock;

	private final Meters meters;

	private final RandomGenerator random;

	private final RequestsInHand inHand;

	private volatile boolean refusing;

	/**
	 * Creates the interface; it takes no connections yet.
	 * @param address where to listen
	 * @param worker the traffic thread
	 * @param format names and formats of the deployment
	 * @param dispatcher takes the requests
	 * @param routes the routing table in force
	 * @param clock the clock
	 * @param meters the meters
	 * @param random source of draws
	 */
	public GatewayFront(InetSocketAddress address, XnioWorker worker, WireFormat format, Dispatcher dispatcher,
			Supplier<Optional<RouteIndex>> routes, MonotonicClock clock, Meters meters, RandomGenerator random) {
		this.format = format;
		this.dispatcher = dispatcher;
		this.routes = routes;
		this.clock = clock;
		this.meters = meters;
		this.random = random;
		this.inHand = new RequestsInHand(meters);
		this.undertow = CallerListener
			.builder(address,
					new CallerListener.Limits(MAX_HEAD_BYTES, MAX_BODY_BYTES, HEAD_TIMEOUT_MS, IDLE_CONNECTION_MS),
					BACKLOG)
			.setWorker(worker)
			.setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
			.setServerOption(UndertowOptions.ALLOW_UNESCAPED_CHARACTERS_IN_URL, true)
			.setHandler(this::handle)
			.build();
	}

	/**
	 * Starts to take connections.
	 */
	public void start() {
		this.undertow.start();
	}

	private void handle(HttpServerExchange http) {
		this.inHand.add(http);
		http.dispatch(SameThreadExecutor.INSTANCE, () -> accept(http));
	}

	private void accept(HttpServerExchange http) {
		long arrivedAtMs = this.clock.nowMs();
		CallerHead head = this.format.readCaller(http.getRequestHeaders());
		Optional<RouteIndex> index = this.routes.get();
		if (index.isEmpty()) {
			refuse(http, head, RefusalReason.NO_CONFIGURATION, OptionalLong.of(NO_TABLE_RETRY_MS));
			return;
		}
		if (this.refusing) {
			refuse(http, head, RefusalReason.ENTRY_DRAINING, OptionalLong.of(DRAINING_RETRY_MS));
			return;
		}
		RoutingTable table = index.get().table();
		Optional<Route> route = index.get().find(http.getHostAndPort(), http.getRequestURI());
		if (route.isEmpty()) {
			refuse(http, head, RefusalReason.ROUTE_UNKNOWN, OptionalLong.empty());
			return;
		}
		Optional<String> workspace = head.key().map(table.workspaceByKey()::get);
		if (workspace.isEmpty() && !route.get().openToAll() && !table.workspaceByKey().isEmpty()) {
			refuse(http, head, head.key().isEmpty() ? RefusalReason.KEY_MISSING : RefusalReason.KEY_UNKNOWN,
					OptionalLong.empty());
			return;
		}
		if (http.getRequestContentLength() > table.limits().maxBodyBytes()) {
			refuse(http, head, RefusalReason.BODY_TOO_LARGE, OptionalLong.empty());
			return;
		}
		String service = RouteIndex.serviceOf(route.get(), this.random.nextDouble());
		http.getRequestReceiver()
			.receiveFullBytes(
					(read, body) -> read.dispatch(SameThreadExecutor.INSTANCE,
							() -> this.dispatcher.start(new RequestInput(read, head, body, route.get(), service,
									workspace, table.version(), arrivedAtMs))),
					(broken, ex) -> onBodyBroken(broken, head, ex));
	}

	private void onBodyBroken(HttpServerExchange http, CallerHead head, IOException cause) {
		LOGGER.atInfo()
			.addKeyValue("request_id", head.attemptId())
			.addKeyValue("cause", cause.getMessage())
			.log("The caller broke its request off");
		IoUtils.safeClose(http.getConnection());
	}

	private void refuse(HttpServerExchange http, CallerHead head, RefusalReason reason, OptionalLong retryAfterMs) {
		this.meters.refused("", reason);
		LOGGER.atInfo()
			.addKeyValue("request_id", head.attemptId())
			.addKeyValue("host", http.getHostAndPort())
			.addKeyValue("path", http.getRequestURI())
			.addKeyValue("table_version", this.routes.get().map((index) -> index.table().version()).orElse(-1L))
			.addKeyValue("outcome", reason.code())
			.log("Request refused");
		new CallerAnswer(http).refuse(reason, retryAfterMs);
	}

	/**
	 * Finishes the requests in hand. Kept connections are closed with the answers to
	 * their next requests; requests that come late are refused, so that they end in time.
	 * @param takeMs time during which requests on kept connections are still taken
	 * @param untilMs time from now at which to return at the latest
	 * @throws InterruptedException if the thread is interrupted
	 */
	public void drain(long takeMs, long untilMs) throws InterruptedException {
		this.inHand.startDraining();
		long startMs = this.clock.nowMs();
		TimeUnit.MILLISECONDS.sleep(takeMs);
		this.refusing = true;
		while (this.inHand.count() > 0 && this.clock.nowMs() - startMs < untilMs) {
			TimeUnit.MILLISECONDS.sleep(10);
		}
		LOGGER.info("Drained in {} ms with {} requests left", this.clock.nowMs() - startMs, this.inHand.count());
	}

}
