package io.anvilusher.gateway;

import java.io.IOException;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
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
import io.anvilusher.gateway.control.DutyMembership;
import io.anvilusher.gateway.control.RoleDuty;
import io.anvilusher.gateway.control.TableFollower;
import io.anvilusher.gateway.control.TableFollower.ControlContext;
import io.anvilusher.gateway.control.UsageCounter;
import io.anvilusher.gateway.control.UsageDuty;
import io.anvilusher.gateway.fleet.FleetBoard;
import io.anvilusher.gateway.http.GatewayFront;
import io.anvilusher.gateway.http.ReadyServer;
import io.anvilusher.gateway.request.Dispatcher;
import io.anvilusher.logic.fleet.LapseGuard;
import io.anvilusher.logic.routing.RouteIndex;
import io.anvilusher.logic.usage.SteadyTime;
import io.anvilusher.model.fleet.RegisteredServer;
import io.anvilusher.model.routing.RoutingTable;

/**
 * A gateway process: one thread for traffic, one for control state.
 */
public final class Gateway {

	private static final Logger LOGGER = LoggerFactory.getLogger(Gateway.class);

	/**
	 * Pause between two reads of the servers' changes, as a part of the time in which a
	 * leaving server must get no new work.
	 */
	private static final double SERVERS_PAUSE_SHARE = 0.25;

	/**
	 * Longest wait of one read for a change, as a part of the time in which the newest
	 * state must be in force again after a connection fell silent.
	 */
	private static final double READ_WAIT_SHARE = 0.5;

	/**
	 * Pause between two reads of the routing table's changes, in ms. Source: a small part
	 * of the time to apply one.
	 */
	private static final long TABLE_PAUSE_MS = 50;

	/** Time after SIGTERM during which requests on kept connections are taken, in ms. */
	private static final long DRAIN_TAKE_MS = 3_000;

	/** Part of the grace time after which the process ends in any case. */
	private static final double DRAIN_SHARE = 0.93;

	/**
	 * Least time to write the last counts and to give up duties, in ms. Source: some
	 * calls to the store.
	 */
	private static final long LEAVE_MS = 100;

	private final GatewaySettings settings;

	private final DeploymentAdapter adapter;

	private final MonotonicClock clock = MonotonicClock.SYSTEM;

	private final Meters meters = new Meters();

	private final ControlThread control = new ControlThread();

	private final FleetBoard fleet = new FleetBoard();

	private final LapseGuard lapses = new LapseGuard();

	private final AtomicReference<Optional<RouteIndex>> routes = new AtomicReference<>(Optional.empty());

	private final XnioWorker worker;

	private final GatewayFront front;

	private final ControlContext context;

	private final DutyMembership duties;

	private final Optional<UsageDuty> usage;

	private final RoleDuty roles;

	private Map<String, RegisteredServer> registered = Map.of();

	private volatile List<RegisteredServer> serversShown = List.of();

	private volatile boolean serversKnown;

	private volatile boolean draining;

	private Gateway(GatewaySettings settings, AdapterFactory factory) throws IOException {
		this.settings = settings;
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
		StreamingHttpClient client = StreamingHttpClient.on(this.worker);
		this.adapter = factory.create(settings, client);
		XnioIoThread thread = this.worker.getIoThread();
		Random random = new Random();
		String member = settings.process() + "-" + Long.toHexString(random.nextLong());
		SteadyTime time = new SteadyTime(System.currentTimeMillis(), this.clock.nowMs());
		LongSupplier trueTimeMs = () -> {
			synchronized (time) {
				return time.trueMs(System.currentTimeMillis(), this.clock.nowMs());
			}
		};
		UsageCounter runs = new UsageCounter(trueTimeMs, settings.usageWindowMs());
		this.duties = new DutyMembership(member, this.adapter.dutyGroup(), settings.leaseMs(), this.control,
				this.clock);
		this.usage = this.adapter.usageCalls()
			.map((calls) -> new UsageDuty(this.duties,
					new UsageDuty.UsageTerms(settings.process(), settings.usageWindowMs(), settings.usageLateMs()),
					runs, new UsageDuty.Ports(this.adapter.usageLog(), calls), this.control, this.clock, trueTimeMs));
		this.context = new ControlContext(this.control, this.clock, this.meters);
		this.roles = new RoleDuty(this.duties, settings.process(), this.adapter.engineCalls(), () -> this.serversShown,
				this.context);
		Dispatcher dispatcher = new Dispatcher(
				new Dispatcher.Parts(this.fleet, this.adapter.format(), client, this.meters, runs, this.clock, thread,
						random),
				settings.dataCentre(), new Dispatcher.RetryTerms(settings.retryRatio(), settings.retryWindowMs()));
		this.front = new GatewayFront(settings.callerAddress(), this.worker, this.adapter.format(), dispatcher,
				this.routes::get, this.clock, this.meters, random);
	}

	/**
	 * Starts a gateway.
	 * @param settings its settings
	 * @param factory creates the adapter of the deployment
	 * @return the running gateway
	 * @throws IOException if its threads or its addresses are not to be had
	 */
	public static Gateway start(GatewaySettings settings, AdapterFactory factory) throws IOException {
		Gateway gateway = new Gateway(settings, factory);
		gateway.front.start();
		ReadyServer.start(settings.readyAddress(), gateway.adapter.readyPath(), gateway.worker, gateway::isReady);
		AdminServer.start(settings.metricsAddress(), gateway.meters, gateway::isReady, gateway::status);
		// Network traffic begins when this thread has loaded what a start needs.
		gateway.follow();
		gateway.usage.ifPresent(UsageDuty::start);
		gateway.roles.start();
		gateway.duties.start();
		LOGGER.info("Gateway {} of data centre {} started; callers at {}", settings.process(), settings.dataCentre(),
				settings.callerAddress());
		return gateway;
	}

	private void follow() {
		long waitMs = (long) (READ_WAIT_SHARE * this.settings.catchUpMs());
		long serversPauseMs = (long) (SERVERS_PAUSE_SHARE * this.settings.drainMs());
		new TableFollower<RoutingTable>("routes", this.adapter.routingTables(), this.adapter::readRoutingTable,
				this::onRoutingTables, this.context, new TableFollower.Pace(TABLE_PAUSE_MS, waitMs))
			.start();
		new TableFollower<>("servers", this.adapter.servers(), this.adapter::readServer, new ServerListener(),
				this.context, new TableFollower.Pace(serversPauseMs, waitMs))
			.start();
	}

	private void onRoutingTables(Map<String, RoutingTable> tables) {
		Optional<RoutingTable> newest = tables.values().stream().max(Comparator.comparingLong(RoutingTable::version));
		long inForce = this.routes.get().map((index) -> index.table().version()).orElse(Long.MIN_VALUE);
		newest.filter((table) -> table.version() > inForce).ifPresent((table) -> {
			this.routes.set(Optional.of(new RouteIndex(table)));
			LOGGER.atInfo()
				.addKeyValue("version", table.version())
				.addKeyValue("replaces", inForce)
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
		this.serversShown.forEach((server) -> servers.addObject()
			.put("id", server.id())
			.put("service", server.service())
			.put("address", server.address())
			.put("draining", server.draining())
			.put("role", server.role().map(Enum::name).orElse("")));
		return root.toString();
	}

	private boolean isReady() {
		return !this.draining && this.serversKnown && this.routes.get().isPresent();
	}

	/**
	 * Stops taking connections, finishes the requests in hand and gives up its duties.
	 */
	public void drain() {
		this.draining = true;
		long endMs = this.clock.nowMs() + (long) (this.settings.graceMs() * DRAIN_SHARE);
		try {
			this.front.drain(Math.min(DRAIN_TAKE_MS, this.settings.graceMs() / 2),
					endMs - this.clock.nowMs() - LEAVE_MS);
			CompletableFuture<Void> left = this.duties.leave();
			CompletableFuture<Void> written = this.usage.map(UsageDuty::leave)
				.orElseGet(() -> CompletableFuture.completedFuture(null));
			CompletableFuture.allOf(left, written)
				.get(Math.max(LEAVE_MS, endMs - this.clock.nowMs()), TimeUnit.MILLISECONDS);
		}
		catch (TimeoutException ex) {
			LOGGER.warn("The store did not take the last counts in time; they are lost");
		}
		catch (ExecutionException ex) {
			LOGGER.error("Duties were not given up", ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			LOGGER.warn("Interrupted while draining; the process ends now");
		}
	}

	private void showServers() {
		Map<String, RegisteredServer> inUse = this.lapses.inUse(this.registered, this.clock.nowMs());
		List<RegisteredServer> servers = List.copyOf(inUse.values());
		this.serversShown = servers;
		this.worker.getIoThread().execute(() -> {
			this.fleet.apply(servers);
			this.serversKnown = true;
		});
	}

	private final class ServerListener implements TableFollower.Listener<RegisteredServer> {

		@Override
		public void onTable(Map<String, RegisteredServer> values) {
			Gateway.this.registered = values;
			showServers();
		}

		@Override
		public void onUnreachable(long nowMs) {
			Gateway.this.lapses.onUnreachable(nowMs);
		}

		@Override
		public void onReachable(long nowMs) {
			Gateway.this.lapses.onReachable(nowMs);
			Gateway.this.control.after(LapseGuard.RETURN_MS + 1, Gateway.this::showServers);
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
		 * @param client the client for its calls
		 * @return the adapter
		 */
		DeploymentAdapter create(GatewaySettings settings, StreamingHttpClient client);

	}

}
