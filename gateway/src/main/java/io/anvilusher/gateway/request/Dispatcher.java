package io.anvilusher.gateway.request;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import io.micrometer.core.instrument.Timer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioIoThread;

import io.anvilusher.adapters.http.StreamingHttpClient;
import io.anvilusher.adapters.metrics.Meters;
import io.anvilusher.adapters.process.MonotonicClock;
import io.anvilusher.gateway.control.RunCounter;
import io.anvilusher.gateway.fleet.FleetBoard;
import io.anvilusher.gateway.wire.WireFormat;
import io.anvilusher.logic.placement.EnginePlacer;
import io.anvilusher.logic.placement.Placement;
import io.anvilusher.logic.placement.PlainPlacer;
import io.anvilusher.logic.placement.ReturnTime;
import io.anvilusher.logic.placement.ServerTrack;
import io.anvilusher.logic.placement.WaitLine;
import io.anvilusher.logic.retry.SharedRetryBudget;

/**
 * Places requests on servers and lets them wait or turns them away when there is no
 * place. All work is done on the traffic thread.
 */
public final class Dispatcher {

	private static final Logger LOGGER = LoggerFactory.getLogger(Dispatcher.class);

	/**
	 * Pause between two looks at the waiting requests, in ms. Source: a step of an
	 * engine.
	 */
	private static final long LINE_CHECK_MS = 5;

	/**
	 * Bounds of the latency histograms, in ms. Source: objectives and deadlines of the
	 * brief's workloads.
	 */
	private static final long[] LATENCY_BOUNDS_MS = { 10, 25, 50, 100, 150, 200, 400, 800, 2_000, 5_000, 15_000 };

	private final Map<String, Timer> totals = new HashMap<>();

	private final Map<String, Timer> firstResults = new HashMap<>();

	private final FleetBoard fleet;

	private final WireFormat format;

	private final StreamingHttpClient client;

	private final Meters meters;

	private final RunCounter runs;

	private final MonotonicClock clock;

	private final XnioIoThread thread;

	private final RandomGenerator random;

	private final RetryTerms retryTerms;

	private final EnginePlacer enginePlacer = new EnginePlacer();

	private final PlainPlacer plainPlacer;

	private final Map<String, ServiceDesk> desks = new HashMap<>();

	private boolean checking;

	/**
	 * Creates a dispatcher.
	 * @param parts what it works with
	 * @param dataCentre data centre of the gateway
	 * @param retryTerms repeats that all gateways share
	 */
	public Dispatcher(Parts parts, String dataCentre, RetryTerms retryTerms) {
		this.fleet = parts.fleet();
		this.format = parts.format();
		this.client = parts.client();
		this.meters = parts.meters();
		this.runs = parts.runs();
		this.clock = parts.clock();
		this.thread = parts.thread();
		this.random = parts.random();
		this.retryTerms = retryTerms;
		this.plainPlacer = new PlainPlacer(dataCentre);
	}

	/**
	 * Starts a request.
	 * @param input the request
	 */
	public void start(RequestInput input) {
		desk(input.service()).retries().onRequest(nowMs());
		new GatewayRequest(this, input).start();
	}

	Placement place(GatewayRequest request, Set<String> avoided) {
		List<ServerTrack> servers = this.fleet.servers(request.input().service());
		return request.input()
			.head()
			.prompt()
			.filter((prompt) -> request.input().route().carriesPrompt())
			.map((prompt) -> this.enginePlacer.place(prompt, servers, avoided, request.input().route().targetMs(),
					nowMs()))
			.orElseGet(() -> this.plainPlacer.place(servers, avoided, nowMs()));
	}

	Optional<ServerTrack> placeFetch(GatewayRequest request, ServerTrack source, Set<String> avoided) {
		return this.enginePlacer.placeFetch(source, this.fleet.servers(request.input().service()), avoided,
				request.input().route().targetMs(), nowMs());
	}

	boolean await(GatewayRequest request) {
		boolean waits = desk(request.input().service()).line()
			.offer(request, request.input().route().targetMs(), nowMs());
		if (waits && !this.checking) {
			this.checking = true;
			after(LINE_CHECK_MS, this::checkLines);
		}
		return waits;
	}

	private void checkLines() {
		long nowMs = nowMs();
		this.desks.values().forEach((desk) -> {
			desk.line().drain(GatewayRequest::tryPlace);
			desk.line().expire(nowMs, GatewayRequest::turnAway);
		});
		this.checking = this.desks.values().stream().anyMatch((desk) -> desk.line().size() > 0);
		if (this.checking) {
			after(LINE_CHECK_MS, this::checkLines);
		}
	}

	void onRoom(String service) {
		desk(service).line().drain(GatewayRequest::tryPlace);
	}

	long returnAfterMs(String service) {
		double ahead = this.fleet.servers(service)
			.stream()
			.mapToDouble((server) -> server.window().pendingTokens() + 1)
			.sum();
		return desk(service).returns().afterMs(ahead, this.random.nextDouble(), nowMs());
	}

	ServiceDesk desk(String service) {
		return this.desks.computeIfAbsent(service, (name) -> new ServiceDesk(new WaitLine<>(), new ReturnTime(),
				new SharedRetryBudget(this.retryTerms.ratio(), this.retryTerms.windowMs())));
	}

	Runnable after(long delayMs, Runnable task) {
		return this.thread.executeAfter(guarded(task), Math.max(0, delayMs), TimeUnit.MILLISECONDS)::remove;
	}

	private static Runnable guarded(Runnable task) {
		return () -> {
			try {
				task.run();
			}
			catch (RuntimeException ex) {
				LOGGER.error("A task of the traffic thread failed", ex);
			}
		};
	}

	void onEnded(String service, int status, long firstResultMs, long totalMs) {
		this.meters.counter("anvilusher.requests", "service", service, "status", Integer.toString(status)).increment();
		this.totals
			.computeIfAbsent(service,
					(name) -> this.meters.histogram("anvilusher.request.total", LATENCY_BOUNDS_MS, "service", name))
			.record(totalMs, TimeUnit.MILLISECONDS);
		if (firstResultMs >= 0) {
			this.firstResults
				.computeIfAbsent(service,
						(name) -> this.meters.histogram("anvilusher.request.first.result", LATENCY_BOUNDS_MS, "service",
								name))
				.record(firstResultMs, TimeUnit.MILLISECONDS);
		}
	}

	long nowMs() {
		return this.clock.nowMs();
	}

	WireFormat format() {
		return this.format;
	}

	StreamingHttpClient client() {
		return this.client;
	}

	Meters meters() {
		return this.meters;
	}

	RunCounter runs() {
		return this.runs;
	}

	/**
	 * What a dispatcher works with.
	 *
	 * @param fleet the servers
	 * @param format names and formats of the deployment
	 * @param client sends requests, on the traffic thread
	 * @param meters the meters
	 * @param runs counts the requests that servers began
	 * @param clock the clock
	 * @param thread the traffic thread
	 * @param random source of draws
	 */
	public record Parts(FleetBoard fleet, WireFormat format, StreamingHttpClient client, Meters meters, RunCounter runs,
			MonotonicClock clock, XnioIoThread thread, RandomGenerator random) {

	}

	/**
	 * Repeats that all gateways share.
	 *
	 * @param ratio repeats for each request
	 * @param windowMs length of the sliding window
	 */
	public record RetryTerms(double ratio, long windowMs) {

	}

}
