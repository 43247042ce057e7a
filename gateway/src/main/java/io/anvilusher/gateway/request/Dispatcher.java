package io.anvilusher.gateway.request;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import io.micrometer.core.instrument.Timer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioExecutor;

import io.anvilusher.adapters.http.HttpCalls;
import io.anvilusher.adapters.http.RunningCall;
import io.anvilusher.adapters.metrics.Meters;
import io.anvilusher.adapters.process.MonotonicClock;
import io.anvilusher.gateway.control.EngineControlClient;
import io.anvilusher.gateway.control.RunCounter;
import io.anvilusher.gateway.fleet.ServerAnnouncements;
import io.anvilusher.gateway.fleet.ServerCatchUp;
import io.anvilusher.gateway.fleet.ServerRegistry;
import io.anvilusher.gateway.limit.ServerLimits;
import io.anvilusher.gateway.placement.PlacementTicket;
import io.anvilusher.gateway.stream.StreamOrigins;
import io.anvilusher.gateway.stream.StreamTakeUps;
import io.anvilusher.gateway.suspect.RequestSubjects;
import io.anvilusher.gateway.suspect.SuspectGuard;
import io.anvilusher.gateway.wire.KvStep;
import io.anvilusher.gateway.wire.WireFormat;
import io.anvilusher.logic.fleet.VersionHistory;
import io.anvilusher.logic.placement.EnginePlacer;
import io.anvilusher.logic.placement.Placement;
import io.anvilusher.logic.placement.PlacementQueue;
import io.anvilusher.logic.placement.PlainPlacer;
import io.anvilusher.logic.placement.RetryAfterEstimator;
import io.anvilusher.logic.placement.TrackedServer;
import io.anvilusher.logic.retry.SharedRetryBudget;
import io.anvilusher.model.request.RefusalReason;

/**
 * Selects a server for each request. Requests that find no server with spare capacity are
 * queued for a short time and then refused. All methods run on the traffic thread.
 */
public final class Dispatcher {

	private static final Logger LOGGER = LoggerFactory.getLogger(Dispatcher.class);

	/**
	 * Interval of the checks of the queued requests: the time of one step of an engine.
	 */
	private static final long QUEUE_CHECK_INTERVAL_MS = 5;

	/**
	 * Upper bounds of the latency histogram buckets. They include the latency targets and
	 * deadlines of the expected workloads.
	 */
	private static final long[] LATENCY_BUCKETS_MS = { 10, 25, 50, 100, 150, 200, 400, 800, 2_000, 5_000, 15_000 };

	/**
	 * Share of the target latency that a request waits for load reports of engines. An
	 * engine that does not respond in this time is not used if others do.
	 */
	private static final double MAX_PROBE_TIME_SHARE = 0.15;

	/** Shortest Retry-After of a request that found no permit: a few round trips. */
	private static final long MIN_PERMIT_RETRY_AFTER_MS = 50;

	/**
	 * Longest wait for the report that shows whether a server has restarted. The caller
	 * of the stream waits as well.
	 */
	private static final long RESTART_CHECK_TIMEOUT_MS = 400;

	/** Timeout for the response to a call that frees a KV cache. */
	private static final long FREE_KV_CACHE_TIMEOUT_MS = 1_000;

	private final Map<String, Timer> totalTimers = new HashMap<>();

	private final Map<String, Timer> firstResultTimers = new HashMap<>();

	private final ServerRegistry serverRegistry;

	private final WireFormat format;

	private final HttpCalls client;

	private final EngineControlClient engineControl;

	private final SuspectGuard suspects;

	private final Meters meters;

	private final RunCounter runs;

	private final ServerAnnouncements announcements;

	private final MonotonicClock clock;

	private final XnioExecutor thread;

	private final RandomGenerator random;

	private final RetryLimits retryLimits;

	private final EnginePlacer enginePlacer = new EnginePlacer();

	private final PlainPlacer plainPlacer;

	private final Map<String, ServiceState> serviceStates = new HashMap<>();

	private final Set<GatewayRequest> activeRequests = new HashSet<>();

	private final Map<TrackedServer, CompletableFuture<Void>> runningProbes = new HashMap<>();

	private boolean checkScheduled;

	private final Optional<CoordinatedPlacement> coordination;

	private final ServerLimits limits;

	private final StreamOrigins origins;

	private final StreamTakeUps takeUps;

	/**
	 * Creates a dispatcher.
	 * @param dependencies the objects that it uses
	 * @param dataCentre data centre of the gateway
	 * @param retryLimits limits of the retry budget that all gateways share
	 */
	public Dispatcher(Dependencies dependencies, String dataCentre, RetryLimits retryLimits) {
		this.serverRegistry = dependencies.serverRegistry();
		this.format = dependencies.format();
		this.client = dependencies.client();
		this.engineControl = dependencies.engineControl();
		this.suspects = dependencies.suspects();
		this.meters = dependencies.meters();
		this.runs = dependencies.runs();
		this.announcements = dependencies.announcements();
		this.clock = dependencies.clock();
		this.thread = dependencies.thread();
		this.random = dependencies.random();
		this.retryLimits = retryLimits;
		this.plainPlacer = new PlainPlacer(dataCentre);
		this.coordination = dependencies.coordination();
		this.limits = dependencies.limits();
		this.origins = dependencies.origins();
		this.takeUps = new StreamTakeUps(this.origins, dependencies.versions(), this.serverRegistry,
				dependencies.serverCatchUp(), this.clock, this.meters);
		this.limits.onPermits(this::placeAllQueued);
	}

	/**
	 * Starts a request: counts it for the retry budget of its service, then sends, queues
	 * or refuses it.
	 * @param input the request
	 */
	public void start(RequestInput input) {
		start(input, new ExchangeResponse(input.exchange()));
	}

	/**
	 * Starts a request like {@link #start(RequestInput)}.
	 * @param input the request
	 * @param response the response to its caller
	 */
	void start(RequestInput input, CallerResponse response) {
		serviceState(input.service()).retryBudget().onRequest(nowMs());
		GatewayRequest request = new GatewayRequest(this, input, response);
		this.activeRequests.add(request);
		request.start();
	}

	/**
	 * Ends all requests in progress because the process ends. Their callers are told
	 * whether they may have run.
	 */
	public void endAll() {
		List.copyOf(this.activeRequests).forEach(GatewayRequest::endForShutdown);
	}

	/**
	 * Forgets a request that has ended: it is neither placed nor ended again.
	 * @param request the request
	 */
	void forget(GatewayRequest request) {
		request.endTicket();
		this.activeRequests.remove(request);
		serviceState(request.input().service()).queue().remove(request);
	}

	private List<TrackedServer> usableServers(GatewayRequest request) {
		return this.serverRegistry.servers(request.input().service()).stream().filter(request::mayUse).toList();
	}

	Placement place(GatewayRequest request, Set<String> excludedServers) {
		return request.limitedPlacement()
			.place(usableServers(request), (servers) -> place(request, servers, excludedServers), nowMs());
	}

	private Placement place(GatewayRequest request, List<TrackedServer> servers, Set<String> excludedServers) {
		return request.input()
			.head()
			.prompt()
			.filter((prompt) -> request.input().route().carriesPrompt())
			.map((prompt) -> this.enginePlacer.place(request.input().route().name(), prompt, servers, excludedServers,
					request.input().route().targetMs(), nowMs()))
			.orElseGet(() -> this.plainPlacer.place(servers, excludedServers, nowMs()));
	}

	/**
	 * Records that a request ended while its server sent nothing.
	 * @param server the server
	 * @param subjects subjects of the request
	 */
	void onServerSilent(TrackedServer server, RequestSubjects subjects) {
		boolean gone = this.serverRegistry.tracked(server.server()).isEmpty();
		this.suspects.onSilent(server.server(), subjects, gone);
	}

	boolean isAccepting(TrackedServer server) {
		return this.serverRegistry.servers(server.server().service()).contains(server);
	}

	Optional<TrackedServer> placeDecode(GatewayRequest request, TrackedServer source, Set<String> excludedServers) {
		return request.limitedPlacement()
			.placeDecode(usableServers(request), (engines) -> this.enginePlacer.placeDecode(source, engines,
					excludedServers, request.input().route().targetMs(), nowMs()), nowMs());
	}

	List<TrackedServer> enginesToProbe(GatewayRequest request, Set<String> excludedServers) {
		return request.input()
			.head()
			.prompt()
			.filter((prompt) -> request.input().route().carriesPrompt())
			.map((prompt) -> this.enginePlacer.enginesToProbe(prompt, usableServers(request), excludedServers, nowMs()))
			.orElseGet(List::of);
	}

	/**
	 * Asks engines for load reports, and runs a task once all have responded or the time
	 * for it is over.
	 * @param engines the engines
	 * @param targetMs target latency of the request that waits for the reports
	 * @param then the task
	 */
	void probe(List<TrackedServer> engines, long targetMs, Runnable then) {
		List<CompletableFuture<Void>> reports = engines.stream().map(this::probe).toList();
		CompletableFuture<Void> probed = CompletableFuture.allOf(reports.toArray(CompletableFuture[]::new));
		Runnable cancelTimeout = schedule((long) (MAX_PROBE_TIME_SHARE * targetMs), () -> probed.complete(null));
		probed.whenComplete((ignored, failure) -> {
			cancelTimeout.run();
			this.thread.execute(logFailure(then));
		});
	}

	/**
	 * Returns whether a server can be asked whether it has restarted.
	 * @param server the server
	 * @return false if its registration names no start, or it is no engine and gives no
	 * reports
	 */
	boolean canCheckRestart(TrackedServer server) {
		return server.server().startedAtMs() != 0 && server.server().role().isPresent();
	}

	/**
	 * Asks a server whether it is still the incarnation that its registration shows. The
	 * registration may be older than a restart with other software.
	 * @param server the server
	 * @return whether it reports the same start and still takes requests; false if it
	 * does not respond in time. Completes on the traffic thread, never exceptionally
	 */
	CompletableFuture<Boolean> isUnchanged(TrackedServer server) {
		this.limits.countCall(server.server().address());
		CompletableFuture<Optional<EngineControlClient.EngineReport>> report = this.engineControl
			.report(server.server())
			.exceptionally((failure) -> Optional.empty());
		Runnable cancelTimeout = schedule(RESTART_CHECK_TIMEOUT_MS, () -> report.complete(Optional.empty()));
		CompletableFuture<Boolean> unchanged = new CompletableFuture<>();
		report.thenAccept((answer) -> {
			cancelTimeout.run();
			this.thread.execute(() -> unchanged.complete(isUnchanged(server, answer)));
		});
		return unchanged;
	}

	private boolean isUnchanged(TrackedServer server, Optional<EngineControlClient.EngineReport> report) {
		String outcome = report
			.map((present) -> (present.startedAtMs() == server.server().startedAtMs()) ? "same" : "restarted")
			.orElse("none");
		this.meters.counter("anvilusher.stream.server.checks", "outcome", outcome).increment();
		return outcome.equals("same") && isAccepting(server);
	}

	// An engine whose reports take long is not asked again meanwhile.
	private CompletableFuture<Void> probe(TrackedServer engine) {
		CompletableFuture<Void> running = this.runningProbes.get(engine);
		if (running != null) {
			return running;
		}
		CompletableFuture<Void> started = requestReport(engine);
		if (!started.isDone()) {
			this.runningProbes.put(engine, started);
			started.whenComplete((ignored, failure) -> this.runningProbes.remove(engine));
		}
		return started;
	}

	private CompletableFuture<Void> requestReport(TrackedServer engine) {
		if (this.limits.isLimited(engine)) {
			this.meters.counter("anvilusher.engine.probes", "outcome", "held_back").increment();
			return CompletableFuture.completedFuture(null);
		}
		return this.engineControl.report(engine.server()).thenAccept((report) -> {
			String outcome = report.isPresent() ? "report" : "none";
			this.meters.counter("anvilusher.engine.probes", "outcome", outcome).increment();
			int slots = engine.server().slots();
			report.ifPresent((present) -> engine.onLoadReport(Math.min(slots, present.requests()),
					Math.max(0, present.requests() - slots), nowMs()));
		});
	}

	/**
	 * Asks the coordinator of the engines where to send a request.
	 * @param request the request
	 * @param excludedServers ids of servers that earlier attempts were sent to
	 * @param listener is told the decision, also within this call
	 * @return the ticket; empty if the service is not coordinated
	 */
	Optional<PlacementTicket> askCoordinator(GatewayRequest request, Set<String> excludedServers,
			PlacementTicket.Listener listener) {
		return request.input()
			.head()
			.prompt()
			.filter((prompt) -> request.input().route().carriesPrompt())
			.flatMap((prompt) -> this.coordination.flatMap((coordinated) -> coordinated.ask(request.input(), prompt,
					withoutPermit(request, excludedServers), listener)));
	}

	private Set<String> withoutPermit(GatewayRequest request, Set<String> excludedServers) {
		return Stream
			.concat(excludedServers.stream(),
					request.limitedPlacement()
						.lacking(this.serverRegistry.servers(request.input().service()), nowMs())
						.stream()
						.map((server) -> server.server().id()))
			.collect(Collectors.toUnmodifiableSet());
	}

	/**
	 * Returns the tracked state of a server that accepts requests.
	 * @param service name of its service
	 * @param serverId id of the server
	 * @return the server, or empty if this gateway does not know it as accepting
	 */
	Optional<TrackedServer> acceptingServer(String service, String serverId) {
		return this.serverRegistry.servers(service)
			.stream()
			.filter((server) -> server.server().id().equals(serverId))
			.findFirst();
	}

	/**
	 * Records that an engine reported the relative time of its machine.
	 * @param service name of its service
	 */
	void onRelativeTimeReported(String service) {
		this.coordination.ifPresent((coordinated) -> coordinated.onRelativeTimeReported(service));
	}

	boolean enqueue(GatewayRequest request) {
		boolean queued = serviceState(request.input().service()).queue()
			.offer(request, request.input().route().targetMs(), nowMs());
		if (queued && !this.checkScheduled) {
			this.checkScheduled = true;
			schedule(QUEUE_CHECK_INTERVAL_MS, this::checkQueues);
		}
		return queued;
	}

	private void checkQueues() {
		try {
			long nowMs = nowMs();
			this.serviceStates.values().forEach((state) -> {
				state.queue().placeQueued(GatewayRequest::tryPlace);
				state.queue().expire(nowMs, GatewayRequest::refuseQueued);
			});
		}
		finally {
			this.checkScheduled = this.serviceStates.values().stream().anyMatch((state) -> state.queue().size() > 0);
			if (this.checkScheduled) {
				schedule(QUEUE_CHECK_INTERVAL_MS, this::checkQueues);
			}
		}
	}

	/**
	 * Records that a request is refused because no server had room for it.
	 * @param request the request
	 */
	void onNotPlaced(GatewayRequest request) {
		request.input()
			.head()
			.prompt()
			.filter((prompt) -> request.input().route().carriesPrompt())
			.ifPresent((prompt) -> this.enginePlacer.onRefused(request.input().service(),
					request.input().route().name(), prompt));
	}

	void onCapacityFreed(String service) {
		serviceState(service).queue().placeQueued(GatewayRequest::tryPlace);
	}

	private void placeAllQueued() {
		this.serviceStates.values().forEach((state) -> state.queue().placeQueued(GatewayRequest::tryPlace));
	}

	RefusalReason noServerReason(String service) {
		return this.serverRegistry.isAnyPaused(service) ? RefusalReason.SERVICE_SATURATED : RefusalReason.NO_SERVER;
	}

	/**
	 * Frees a KV cache that will not be fetched, after the pause of its engine if one is
	 * in effect.
	 * @param fetch the KV cache
	 */
	void freeKvCache(KvStep.Fetch fetch) {
		long pauseLeftMs = this.serverRegistry.pauseLeftMs(fetch.source());
		if (pauseLeftMs > 0) {
			schedule(pauseLeftMs, () -> freeKvCache(fetch));
			return;
		}
		this.limits.countCall(fetch.source());
		RunningCall call = this.client.start(this.format.freeHandle(fetch.source(), fetch.handle()),
				FreeKvCacheListener.INSTANCE);
		schedule(FREE_KV_CACHE_TIMEOUT_MS, call::cancel);
	}

	long retryAfterMs(String service) {
		OptionalLong firstAcceptsInMs = this.serverRegistry.firstAcceptsInMs(service);
		if (firstAcceptsInMs.isPresent()) {
			return firstAcceptsInMs.getAsLong();
		}
		long nowMs = nowMs();
		Set<String> unhealthy = this.serverRegistry.servers(service)
			.stream()
			.filter((server) -> server.health().isUnhealthy(nowMs))
			.map((server) -> server.server().id())
			.collect(Collectors.toUnmodifiableSet());
		OptionalLong nextPermitInMs = nextPermitInMs(this.serverRegistry.servers(service), unhealthy);
		if (nextPermitInMs.isPresent()) {
			return Math.max(MIN_PERMIT_RETRY_AFTER_MS, nextPermitInMs.getAsLong());
		}
		double pendingUnits = this.serverRegistry.servers(service)
			.stream()
			.mapToDouble((server) -> server.window().pendingTokens() + 1)
			.sum();
		return serviceState(service).retryAfter().retryAfterMs(pendingUnits, this.random.nextDouble(), nowMs());
	}

	/**
	 * Estimates when a request can be sent to one of the servers that run complete
	 * requests, if all of those that it may be sent to have limits.
	 * @param request the request
	 * @param excludedServers ids of servers that are not to be used
	 * @return the time in ms; empty if a limit is not what keeps the request from a
	 * server
	 */
	OptionalLong nextPermitInMs(GatewayRequest request, Set<String> excludedServers) {
		return nextPermitInMs(usableServers(request), excludedServers);
	}

	private OptionalLong nextPermitInMs(List<TrackedServer> servers, Set<String> excludedServers) {
		return this.limits.nextPermitInMs(servers.stream()
			.filter((server) -> !server.isPrefill() && !excludedServers.contains(server.server().id()))
			.toList());
	}

	ServiceState serviceState(String service) {
		return this.serviceStates.computeIfAbsent(service,
				(name) -> new ServiceState(new PlacementQueue<>(), new RetryAfterEstimator(),
						new SharedRetryBudget(this.retryLimits.ratio(), this.retryLimits.windowMs())));
	}

	Runnable schedule(long delayMs, Runnable task) {
		return this.thread.executeAfter(logFailure(task), Math.max(0, delayMs), TimeUnit.MILLISECONDS)::remove;
	}

	private static Runnable logFailure(Runnable task) {
		return () -> {
			try {
				task.run();
			}
			catch (RuntimeException | Error ex) {
				LOGGER.error("A scheduled task failed on the traffic thread; the thread continues", ex);
			}
		};
	}

	void recordEnd(String service, int status, long firstResultMs, long totalMs) {
		this.meters.counter("anvilusher.requests", "service", service, "status", Integer.toString(status)).increment();
		this.totalTimers
			.computeIfAbsent(service,
					(name) -> this.meters.histogram("anvilusher.request.total", LATENCY_BUCKETS_MS, "service", name))
			.record(totalMs, TimeUnit.MILLISECONDS);
		if (firstResultMs >= 0) {
			this.firstResultTimers
				.computeIfAbsent(service,
						(name) -> this.meters.histogram("anvilusher.request.first.result", LATENCY_BUCKETS_MS,
								"service", name))
				.record(firstResultMs, TimeUnit.MILLISECONDS);
		}
	}

	/**
	 * Counts the end of a request with a prompt by the size class of the prompt, so that
	 * a limit that only large prompts meet shows.
	 * @param service name of the service
	 * @param status status of the response; 0 if it was broken off
	 * @param promptTokens number of tokens of the prompt
	 */
	void recordPromptEnd(String service, int status, int promptTokens) {
		this.meters
			.counter("anvilusher.request.prompts", "service", service, "status", Integer.toString(status), "tokens",
					PromptSizeClass.of(promptTokens).label())
			.increment();
	}

	long nowMs() {
		return this.clock.nowMs();
	}

	WireFormat format() {
		return this.format;
	}

	/**
	 * Returns the client that makes the calls to servers.
	 * @return the client, whose memory budget all messages share
	 */
	public HttpCalls client() {
		return this.client;
	}

	SuspectGuard suspects() {
		return this.suspects;
	}

	Meters meters() {
		return this.meters;
	}

	ServerAnnouncements announcements() {
		return this.announcements;
	}

	ServerLimits limits() {
		return this.limits;
	}

	StreamOrigins origins() {
		return this.origins;
	}

	StreamTakeUps takeUps() {
		return this.takeUps;
	}

	RunCounter runs() {
		return this.runs;
	}

	/**
	 * The objects that a dispatcher uses.
	 *
	 * @param serverRegistry the servers that take new requests
	 * @param format header and body formats of the deployment
	 * @param client sends requests to servers, on the traffic thread
	 * @param engineControl asks engines for load reports, on the traffic thread
	 * @param suspects keeps requests that crash servers away from them
	 * @param meters the metrics of this process
	 * @param runs counts the requests that servers have run, for the usage reports
	 * @param announcements records what servers announce about themselves
	 * @param clock the monotonic clock
	 * @param thread the traffic thread
	 * @param random spreads the Retry-After delays
	 * @param coordination asks coordinators where to send prompts; empty if this process
	 * exchanges no messages with other gateways
	 * @param limits limits that servers name
	 * @param origins records where streams began
	 * @param versions software versions of the servers by service and time
	 * @param serverCatchUp brings the servers and their versions up to date
	 */
	public record Dependencies(ServerRegistry serverRegistry, WireFormat format, HttpCalls client,
			EngineControlClient engineControl, SuspectGuard suspects, Meters meters, RunCounter runs,
			ServerAnnouncements announcements, MonotonicClock clock, XnioExecutor thread, RandomGenerator random,
			Optional<CoordinatedPlacement> coordination, ServerLimits limits, StreamOrigins origins,
			VersionHistory versions, ServerCatchUp serverCatchUp) {

	}

	/**
	 * Limits of the retry budget that all gateways share.
	 *
	 * @param ratio retries allowed for each request
	 * @param windowMs length of the sliding window, in ms
	 */
	public record RetryLimits(double ratio, long windowMs) {

	}

}
