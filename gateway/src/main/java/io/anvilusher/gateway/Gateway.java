package io.anvilusher.gateway;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

import io.anvilusher.adapters.control.ControlThread;
import io.anvilusher.adapters.http.StreamingHttpClient;
import io.anvilusher.adapters.metrics.AdminServer;
import io.anvilusher.adapters.metrics.Meters;
import io.anvilusher.adapters.process.MonotonicClock;
import io.anvilusher.gateway.allowance.SharedAllowances;
import io.anvilusher.gateway.control.AvailableEngineControl;
import io.anvilusher.gateway.control.DutyMembership;
import io.anvilusher.gateway.control.EngineControlClient;
import io.anvilusher.gateway.control.RoleController;
import io.anvilusher.gateway.control.TableFollower;
import io.anvilusher.gateway.control.TableFollower.ControlContext;
import io.anvilusher.gateway.control.UsageCounter;
import io.anvilusher.gateway.control.UsageReporter;
import io.anvilusher.gateway.fleet.ServerAnnouncements;
import io.anvilusher.gateway.fleet.ServerRegistry;
import io.anvilusher.gateway.http.GatewayHttpServer;
import io.anvilusher.gateway.http.ReadinessServer;
import io.anvilusher.gateway.limit.LimitMeters;
import io.anvilusher.gateway.limit.ServerLimits;
import io.anvilusher.gateway.limit.SharedServerLimits;
import io.anvilusher.gateway.peer.LocalPeerChannel;
import io.anvilusher.gateway.peer.ManagedPeerChannel;
import io.anvilusher.gateway.peer.Peer;
import io.anvilusher.gateway.peer.UdpPeerChannel;
import io.anvilusher.gateway.placement.PlacementClient;
import io.anvilusher.gateway.placement.PlacementService;
import io.anvilusher.gateway.placement.Timers;
import io.anvilusher.gateway.request.CoordinatedPlacement;
import io.anvilusher.gateway.request.DirectMemoryMonitor;
import io.anvilusher.gateway.request.Dispatcher;
import io.anvilusher.gateway.request.TrafficLagMonitor;
import io.anvilusher.gateway.stream.OriginSettings;
import io.anvilusher.gateway.stream.SharedStreamOrigins;
import io.anvilusher.gateway.stream.StreamOrigins;
import io.anvilusher.gateway.suspect.SuspectGuard;
import io.anvilusher.logic.admission.MemoryBudget;
import io.anvilusher.logic.fleet.LapseGuard;
import io.anvilusher.logic.fleet.VersionHistory;
import io.anvilusher.logic.placement.TrackedServer;
import io.anvilusher.logic.routing.RouteIndex;
import io.anvilusher.logic.usage.WallClockEstimator;
import io.anvilusher.model.fleet.RegisteredServer;
import io.anvilusher.model.routing.EngineProfile;
import io.anvilusher.model.routing.Route;
import io.anvilusher.model.routing.RoutingTable;
import io.anvilusher.model.routing.ServiceProfile;

/**
 * A gateway process. One thread handles all request traffic, another one the control
 * tasks.
 */
public final class Gateway {

	private static final Logger LOGGER = LoggerFactory.getLogger(Gateway.class);

	/**
	 * Delay between two reads of the server table, as a fraction of the time after which
	 * a draining server must get no new requests.
	 */
	private static final double SERVERS_DELAY_SHARE = 0.25;

	/**
	 * Longest time that a read waits for a change, as a fraction of the time within which
	 * the newest state must be in use again after a connection stopped responding.
	 */
	private static final double READ_WAIT_SHARE = 0.5;

	/**
	 * The view of the servers counts as interrupted after this many times the usual time
	 * between two reads.
	 */
	private static final long MAX_READ_AGE_FACTOR = 2;

	/**
	 * Delay between two reads of the routing tables; small compared with the time within
	 * which a change must be applied.
	 */
	private static final long TABLE_DELAY_MS = 50;

	/**
	 * Longest delay before a failed read is retried: a fraction of the time within which
	 * the newest state must be in use after an outage of the store.
	 */
	private static final long MAX_RETRY_DELAY_MS = 450;

	/**
	 * Time after SIGTERM during which all new requests on open connections are still
	 * accepted. Callers count on 3 s from the signal, and a busy process handles it late.
	 */
	private static final long DRAIN_ACCEPT_MS = 2_500;

	/**
	 * Fraction of the grace period (SIGTERM to SIGKILL) after which the process exits in
	 * any case.
	 */
	private static final double GRACE_SHARE = 0.93;

	/**
	 * Minimum time reserved for writing the last usage counts and leaving the duty group:
	 * a few calls to the store.
	 */
	private static final long SHUTDOWN_CALLS_MS = 100;

	/**
	 * Longest wait at the start for an address that is still in use: longer than the
	 * usual grace periods of a process that is being replaced.
	 */
	private static final long LISTEN_WAIT_MS = 20_000;

	private static final long ADMIN_RETRY_DELAY_MS = 1_000;

	/** Capacity of an engine's KV cache if the routing table does not say. */
	private static final long DEFAULT_KV_CAPACITY_TOKENS = 500_000;

	/**
	 * Interval at which streams that have begun are written to the store; those of the
	 * last interval are lost with the process.
	 */
	private static final long STREAM_ORIGIN_INTERVAL_MS = 200;

	/** Fraction of the heap for the streams that have begun. */
	private static final double STREAM_ORIGIN_HEAP_SHARE = 0.04;

	/** Longest wait for the traffic thread to finish what it has read. */
	private static final long LAST_PASS_MS = 200;

	private final GatewaySettings settings;

	private final DeploymentAdapter adapter;

	private final MonotonicClock clock = MonotonicClock.SYSTEM;

	private final Meters meters = new Meters();

	private final ControlThread control = new ControlThread();

	private final ServerRegistry serverRegistry = new ServerRegistry(this.clock);

	private final LapseGuard lapseGuard = new LapseGuard();

	private final VersionHistory versions;

	private final AtomicReference<Optional<RouteIndex>> routes = new AtomicReference<>(Optional.empty());

	private final XnioWorker worker;

	private final GatewayHttpServer httpServer;

	private final TrafficLagMonitor lagMonitor;

	private final ControlContext context;

	private final DutyMembership dutyMembership;

	private final Optional<UsageReporter> usageReporter;

	private final RoleController roleController;

	private final SuspectGuard suspects;

	private final SharedAllowances allowances;

	private final StreamOrigins streamOrigins;

	private final TableFollower<RegisteredServer> serverTable;

	private final CoordinatedPlacement coordination;

	private final PlacementService placementService;

	private Map<String, RegisteredServer> registeredServers = Map.of();

	private volatile List<RegisteredServer> serversInUse = List.of();

	private volatile boolean serversKnown;

	private volatile boolean draining;

	private volatile boolean metricsDelayed;

	private Gateway(GatewaySettings settings, AdapterFactory factory) throws IOException {
		this.settings = settings;
		this.versions = new VersionHistory(MAX_READ_AGE_FACTOR * (serversWaitMs() + serversDelayMs()));
		StreamingHttpClient.loadProviders();
		this.worker = Xnio.getInstance()
			.createWorker(OptionMap.builder()
				.set(Options.WORKER_IO_THREADS, 1)
				.set(Options.WORKER_NAME, "traffic")
				.set(Options.WORKER_TASK_CORE_THREADS, 1)
				.set(Options.WORKER_TASK_MAX_THREADS, 1)
				.set(Options.TCP_NODELAY, true)
				.set(Options.THREAD_DAEMON, true)
				.getMap());
		MemoryBudget memory = MemoryBudget.ofHeap(Runtime.getRuntime().maxMemory());
		this.meters.gauge("anvilusher.memory.held.bytes", memory, MemoryBudget::heldBytes);
		this.meters.gauge("anvilusher.memory.refusals", memory, MemoryBudget::refusals);
		StreamingHttpClient client = StreamingHttpClient.on(this.worker, memory, this.meters);
		this.adapter = factory.create(settings, client);
		XnioIoThread thread = this.worker.getIoThread();
		Random random = new Random();
		String member = settings.process() + "-" + Long.toHexString(random.nextLong());
		WallClockEstimator wallClock = new WallClockEstimator(System.currentTimeMillis(), this.clock.nowMs());
		LongSupplier timeOfDayMs = () -> {
			synchronized (wallClock) {
				return wallClock.estimateMs(System.currentTimeMillis(), this.clock.nowMs());
			}
		};
		UsageCounter runCounter = new UsageCounter(timeOfDayMs, settings.usageWindowMs());
		this.dutyMembership = new DutyMembership(member, this.adapter.dutyGroup(), settings.leaseMs(),
				this.control::after, this.clock);
		this.usageReporter = this.adapter.usageReports()
			.map((reports) -> new UsageReporter(this.dutyMembership,
					new UsageReporter.ReportSettings(settings.process(), settings.usageWindowMs(),
							settings.usageLateMs()),
					runCounter, new UsageReporter.Dependencies(this.adapter.usageLog(), this.adapter.usageSeals(),
							reports, this.meters),
					this.control::after, this.clock, timeOfDayMs));
		this.context = new ControlContext(this.control, this.clock, this.meters);
		this.serverTable = new TableFollower<>("servers", this.adapter.servers(), this::readServer,
				new ServerListener(), this.context,
				new TableFollower.PollIntervals(serversDelayMs(), serversWaitMs(), MAX_RETRY_DELAY_MS));
		ManagedPeerChannel peerChannel = createPeerChannel();
		ServerLimits limits = new SharedServerLimits(peerChannel, thread, this.clock, new LimitMeters(this.meters),
				() -> this.serversInUse, random);
		ServerAnnouncements announcements = new ServerAnnouncements(this.serverRegistry, this.meters, this.clock,
				limits);
		EngineControlClient engineControl = this.adapter.engineControl(
				(engine, head, path) -> thread.execute(() -> announcements.onControlHead(engine, head, path)));
		this.roleController = new RoleController(this.dutyMembership, settings.process(),
				new AvailableEngineControl(engineControl, this.serverRegistry::isAccepting, limits::allowsPolls,
						(engine) -> limits.countCall(engine.address()), thread::execute),
				() -> this.serversInUse, this.control::after, this.clock, this.meters);
		this.lagMonitor = new TrafficLagMonitor(thread, this.clock, this.meters, this.serverRegistry::onObserverDelay);
		this.suspects = new SuspectGuard(settings.process(), engineControl, thread, this.adapter.suspects(),
				this.context, timeOfDayMs, random);
		Timers timers = new TrafficTimers(thread, this.clock);
		this.coordination = new CoordinatedPlacement(
				new PlacementClient(peerChannel, timers, this.meters, random.nextLong() >>> 16), peerChannel,
				this.serverRegistry, this.routes::get, this.clock::nowMs);
		this.placementService = new PlacementService(peerChannel, timers, this.meters, random,
				(service) -> this.serverRegistry.servers(service).stream().map(TrackedServer::server).toList(),
				this::kvCapacityTokens);
		this.allowances = new SharedAllowances(settings.allowance(), peerChannel, thread, this.clock, this.meters,
				random);
		this.streamOrigins = new SharedStreamOrigins(this.adapter.streamLog(), this.context, thread,
				new OriginSettings(STREAM_ORIGIN_INTERVAL_MS, this::longestStreamMs,
						(long) (STREAM_ORIGIN_HEAP_SHARE * Runtime.getRuntime().maxMemory())));
		Dispatcher dispatcher = new Dispatcher(
				new Dispatcher.Dependencies(this.serverRegistry, this.adapter.format(), client, engineControl,
						this.suspects, this.meters, runCounter, announcements, this.clock, thread, random,
						Optional.of(this.coordination), limits, this.streamOrigins, this.versions,
						this::catchUpServers),
				settings.dataCentre(), new Dispatcher.RetryLimits(settings.retryRatio(), settings.retryWindowMs()));
		this.httpServer = new GatewayHttpServer(settings.callerAddress(), settings.clients().callers(), this.worker,
				this.adapter.format(), dispatcher, this.routes::get, this.clock, this.meters, random,
				this.lagMonitor::currentLagMs, this.allowances);
	}

	private long kvCapacityTokens(String service) {
		return this.routes.get()
			.map((index) -> index.table().services().get(service))
			.flatMap(ServiceProfile::engine)
			.map(EngineProfile::kvCapacityTokens)
			.orElse(DEFAULT_KV_CAPACITY_TOKENS);
	}

	private long longestStreamMs() {
		return this.routes.get()
			.stream()
			.flatMap((index) -> index.table().routes().stream())
			.filter(Route::isStream)
			.mapToLong(Route::timeoutMs)
			.max()
			.orElse(0);
	}

	private ManagedPeerChannel createPeerChannel() {
		GatewaySettings.PeerSettings peers = this.settings.peers();
		return peers.address()
			.<ManagedPeerChannel>map((address) -> new UdpPeerChannel(
					new Peer(this.settings.process(), address, this.settings.dataCentre(), peers.processorCores()),
					this.adapter.gateways(), this.context, this.worker))
			.orElseGet(() -> new LocalPeerChannel(this.settings.process(), this.worker.getIoThread(), this.meters,
					this.clock));
	}

	/**
	 * Starts a gateway.
	 * @param settings its settings
	 * @param factory creates the adapter of the deployment
	 * @return the running gateway
	 * @throws IOException if its threads cannot be created, or an address for callers or
	 * the readiness check stays in use
	 */
	public static Gateway start(GatewaySettings settings, AdapterFactory factory) throws IOException {
		Gateway gateway = new Gateway(settings, factory);
		gateway.httpServer.start(LISTEN_WAIT_MS);
		gateway.lagMonitor.start();
		ReadinessServer.start(settings.readyAddress(), gateway.adapter.readyPath(), gateway.worker, gateway::isReady,
				settings.clients().readiness(), gateway.meters, LISTEN_WAIT_MS);
		gateway.startAdminServer();
		// The first calls to the store are made only now, after this thread has loaded
		// the classes needed for the start.
		gateway.startFollowers();
		gateway.usageReporter.ifPresent(UsageReporter::start);
		gateway.roleController.start();
		gateway.suspects.start();
		gateway.dutyMembership.start();
		new DirectMemoryMonitor(gateway.context).start();
		LOGGER.info("Gateway {} of data centre {} started; callers at {}", settings.process(), settings.dataCentre(),
				settings.callerAddress());
		return gateway;
	}

	// Callers are served without metrics as well.
	private void startAdminServer() {
		try {
			AdminServer.start(this.settings.metricsAddress(), this.settings.clients().metrics(), this.meters,
					this::isReady, this::status);
			LOGGER.info("Metrics are at {}", this.settings.metricsAddress());
		}
		catch (UncheckedIOException ex) {
			if (!this.metricsDelayed) {
				LOGGER.error("Metrics are not served yet; retrying every {} ms", ADMIN_RETRY_DELAY_MS, ex);
			}
			this.metricsDelayed = true;
			this.control.after(ADMIN_RETRY_DELAY_MS, this::startAdminServer);
		}
	}

	private long serversWaitMs() {
		return (long) (READ_WAIT_SHARE * this.settings.catchUpMs());
	}

	private long serversDelayMs() {
		return (long) (SERVERS_DELAY_SHARE * this.settings.drainMs());
	}

	private Optional<RegisteredServer> readServer(String id, byte[] value) {
		Optional<RegisteredServer> server = this.adapter.readServer(id, value);
		server.ifPresent((registration) -> this.versions.onRegistration(registration, this.clock.nowMs()));
		return server;
	}

	private CompletableFuture<Boolean> catchUpServers() {
		CompletableFuture<Boolean> result = new CompletableFuture<>();
		this.serverTable.catchUp()
			.thenAccept((upToDate) -> this.worker.getIoThread().execute(() -> result.complete(upToDate)));
		return result;
	}

	private void startFollowers() {
		new TableFollower<RoutingTable>("routes", this.adapter.routingTables(), this.adapter::readRoutingTable,
				this::onRoutingTables, this.context,
				new TableFollower.PollIntervals(TABLE_DELAY_MS, serversWaitMs(), MAX_RETRY_DELAY_MS))
			.start();
		this.serverTable.start();
	}

	private void onRoutingTables(Map<String, RoutingTable> tables) {
		Optional<RoutingTable> newest = tables.values().stream().max(Comparator.comparingLong(RoutingTable::version));
		long versionInUse = this.routes.get().map((index) -> index.table().version()).orElse(Long.MIN_VALUE);
		newest.filter((table) -> table.version() > versionInUse).ifPresent((table) -> {
			this.allowances.onLimits(table.allowances());
			this.routes.set(Optional.of(new RouteIndex(table)));
			this.coordination.onTable(table);
			this.versions.onLongestTimeout(table.routes().stream().mapToLong(Route::timeoutMs).max().orElse(0));
			LOGGER.atInfo()
				.addKeyValue("version", table.version())
				.addKeyValue("replaces", versionInUse)
				.addKeyValue("routes", table.routes().size())
				.addKeyValue("keys", table.workspaceByKey().size())
				.log("Routing table in force");
		});
	}

	private String status() {
		ObjectNode root = new ObjectMapper().createObjectNode()
			.put("process", this.settings.process())
			.put("ready", isReady())
			.put("tableVersion", this.routes.get().map((index) -> index.table().version()).orElse(-1L));
		ArrayNode servers = root.putArray("servers");
		this.serversInUse.forEach((server) -> servers.addObject()
			.put("id", server.id())
			.put("service", server.service())
			.put("address", server.address())
			.put("draining", server.draining())
			.put("role", server.role().map(Enum::name).orElse("")));
		return root.toString();
	}

	private boolean isReady() {
		return !this.draining && this.serversKnown && this.routes.get().isPresent() && this.allowances.isReady();
	}

	/**
	 * Shuts down gracefully: reports not ready, finishes the active requests, writes the
	 * last usage counts and gives up the duties. Blocks until then, or until most of the
	 * grace period has passed. No request is read and no call to the store is started any
	 * more when it returns.
	 */
	public void drain() {
		this.draining = true;
		this.worker.getIoThread().execute(this.placementService::drain);
		long endMs = this.clock.nowMs() + (long) (this.settings.graceMs() * GRACE_SHARE) - LAST_PASS_MS;
		try {
			this.httpServer.drain(Math.min(DRAIN_ACCEPT_MS, this.settings.graceMs() / 2),
					endMs - this.clock.nowMs() - SHUTDOWN_CALLS_MS);
			CompletableFuture<Void> left = this.dutyMembership.leave();
			CompletableFuture<Void> countsFlushed = this.usageReporter.map(UsageReporter::flushAll)
				.orElseGet(() -> CompletableFuture.completedFuture(null));
			CompletableFuture.allOf(left, countsFlushed)
				.get(Math.max(SHUTDOWN_CALLS_MS, endMs - this.clock.nowMs()), TimeUnit.MILLISECONDS);
		}
		catch (TimeoutException ex) {
			LOGGER.warn("Shutdown: the store did not respond in time; usage counts that it has not confirmed are lost");
		}
		catch (ExecutionException ex) {
			LOGGER.error("Shutdown: writing the last usage counts or leaving the duty group failed", ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			LOGGER.warn("Shutdown: interrupted while draining; exiting now");
		}
		stopTraffic();
		this.control.close();
	}

	// Holds the traffic thread after it has responded to the requests that it refuses.
	// Otherwise, a request could be read and lose its response when the process ends.
	private void stopTraffic() {
		CountDownLatch stopped = new CountDownLatch(1);
		CountDownLatch processEnd = new CountDownLatch(1);
		this.worker.getIoThread().execute(() -> {
			stopped.countDown();
			awaitUninterrupted(processEnd);
		});
		try {
			if (!stopped.await(LAST_PASS_MS, TimeUnit.MILLISECONDS)) {
				LOGGER.warn("Shutdown: the traffic thread was busy for {} ms; requests that it has read may get no "
						+ "response", LAST_PASS_MS);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			LOGGER.warn("Shutdown: interrupted while the traffic thread finished; exiting now");
		}
	}

	private static void awaitUninterrupted(CountDownLatch latch) {
		try {
			latch.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void applyServers() {
		Map<String, RegisteredServer> inUse = this.lapseGuard.inUse(this.registeredServers, this.clock.nowMs());
		List<RegisteredServer> servers = List.copyOf(inUse.values());
		this.serversInUse = servers;
		this.versions.onServers(servers, this.clock.nowMs());
		this.serverRegistry.publish(servers);
		this.serversKnown = true;
		this.worker.getIoThread().execute(this.serverRegistry::applyPublished);
	}

	private final class ServerListener implements TableFollower.Listener<RegisteredServer> {

		@Override
		public void onTable(Map<String, RegisteredServer> values) {
			Gateway.this.registeredServers = values;
			applyServers();
		}

		@Override
		public void onRead(long nowMs) {
			Gateway.this.versions.onRead(nowMs);
		}

		@Override
		public void onHistoryDropped() {
			Gateway.this.versions.onChangesMissed(Gateway.this.clock.nowMs());
		}

		@Override
		public void onUnreachable(long nowMs) {
			Gateway.this.versions.onUnreachable();
			Gateway.this.lapseGuard.onUnreachable(nowMs);
		}

		@Override
		public void onReachable(long nowMs) {
			Gateway.this.lapseGuard.onReachable(nowMs);
			Gateway.this.control.after(LapseGuard.REREGISTRATION_MS + 1, Gateway.this::applyServers);
		}

	}

	/**
	 * Creates the adapter of a deployment.
	 */
	@FunctionalInterface
	public interface AdapterFactory {

		/**
		 * Creates the adapter.
		 * @param settings settings of the gateway
		 * @param client the HTTP client that the adapter uses
		 * @return the adapter
		 */
		DeploymentAdapter create(GatewaySettings settings, StreamingHttpClient client);

	}

}
