package io.anvilusher.gateway.request;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Methods;

import io.anvilusher.adapters.control.ControlThread;
import io.anvilusher.adapters.http.HttpCall;
import io.anvilusher.adapters.http.HttpCallListener;
import io.anvilusher.adapters.http.HttpCalls;
import io.anvilusher.adapters.http.RunningCall;
import io.anvilusher.adapters.metrics.Meters;
import io.anvilusher.gateway.allowance.RequestCharge;
import io.anvilusher.gateway.control.EngineControlClient;
import io.anvilusher.gateway.control.StoreTable;
import io.anvilusher.gateway.control.TableFollower;
import io.anvilusher.gateway.control.TableReadResult;
import io.anvilusher.gateway.fleet.ServerAnnouncements;
import io.anvilusher.gateway.fleet.ServerRegistry;
import io.anvilusher.gateway.limit.ServerLimits;
import io.anvilusher.gateway.peer.ManagedPeerChannel;
import io.anvilusher.gateway.peer.MessageType;
import io.anvilusher.gateway.peer.Peer;
import io.anvilusher.gateway.peer.PeerRoster;
import io.anvilusher.gateway.placement.PlacementClient;
import io.anvilusher.gateway.stream.OriginSearch;
import io.anvilusher.gateway.stream.StreamOrigin;
import io.anvilusher.gateway.stream.StreamOrigins;
import io.anvilusher.gateway.suspect.SuspectGuard;
import io.anvilusher.gateway.wire.RequestHead;
import io.anvilusher.logic.admission.MemoryBudget;
import io.anvilusher.logic.fleet.VersionHistory;
import io.anvilusher.logic.placement.TrackedServer;
import io.anvilusher.model.fleet.EngineRole;
import io.anvilusher.model.fleet.RegisteredServer;
import io.anvilusher.model.request.HttpHeader;
import io.anvilusher.model.request.RefusalReason;
import io.anvilusher.model.routing.RouteKind;

/**
 * One request in a real {@link Dispatcher} on one thread. Everything around it is a
 * model, whose next event the test chooses. The rules are checked after each step.
 */
final class RequestLifeSchedule {

	private static final Meters METERS = new Meters();

	private static final ControlThread CONTROL = new ControlThread();

	private static final String COORDINATOR = "coordinator";

	/** Statuses that promise that the request has not run and never will. */
	private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

	/** Later tasks are time-outs that end the request. */
	private static final int SOON_MS = 200;

	private static final int MAX_REPLIES = 2;

	private static final int MAX_GRANTS = 2;

	private final LifeScenario scenario;

	private final FakeTrafficThread thread = new FakeTrafficThread();

	private final ServerRegistry registry = new ServerRegistry(this.thread::nowMs);

	private final ModelCalls calls = new ModelCalls();

	private final ModelPeers peers = new ModelPeers();

	private final ModelLimits limits = new ModelLimits();

	private final ModelReports reports = new ModelReports();

	private final ModelCaller caller = new ModelCaller();

	private final Dispatcher dispatcher;

	private final Set<LifeRule> broken = EnumSet.noneOf(LifeRule.class);

	private final List<String> trace = new ArrayList<>();

	private boolean started;

	private boolean stalled;

	private boolean shutDown;

	private boolean roleChanged;

	RequestLifeSchedule(LifeScenario scenario) {
		this.scenario = scenario;
		this.registry.publish(scenario.servers(false));
		TableFollower.ControlContext context = new TableFollower.ControlContext(CONTROL, this.thread::nowMs, METERS);
		CoordinatedPlacement coordination = new CoordinatedPlacement(
				new PlacementClient(this.peers, this.thread, METERS, 100), this.peers, this.registry, Optional::empty,
				this.thread::nowMs);
		if (scenario.coordinated()) {
			coordination.onRelativeTimeReported(LifeScenario.SERVICE);
		}
		this.dispatcher = new Dispatcher(new Dispatcher.Dependencies(
				this.registry, new ModelWireFormat(), this.calls, this.reports, new SuspectGuard("g", this.reports,
						this.thread, new EmptyTable(), context, this.thread::nowMs, new Random(1)),
				METERS, (workspace) -> {
				}, new ServerAnnouncements(this.registry, METERS, this.thread::nowMs, this.limits), this.thread::nowMs,
				this.thread, new Random(1), Optional.of(coordination), this.limits, new NoStreamOrigins(),
				new VersionHistory(1_000), () -> CompletableFuture.completedFuture(true)), "a",
				new Dispatcher.RetryLimits(10, 10_000));
	}

	/**
	 * Returns what can happen next, always in the same order.
	 * @return the events; empty if the request's life is over
	 */
	List<ScheduleAction> actions() {
		List<ScheduleAction> actions = new ArrayList<>();
		if (!this.started) {
			actions.add(new ScheduleAction("caller's body is complete", ScheduleAction.USUAL, this::start));
			return actions;
		}
		this.calls.all.forEach((call) -> actions.addAll(call.actions(this::onBytes)));
		this.peers.addReplies(actions);
		this.reports.addReports(actions);
		this.limits.addGrant(actions);
		this.thread.nextInMs()
			.ifPresent((inMs) -> actions.add(new ScheduleAction("task due in " + inMs + " ms",
					(inMs < SOON_MS) ? ScheduleAction.USUAL : ScheduleAction.RARE, this.thread::runNext)));
		addEnds(actions);
		return actions;
	}

	private void addEnds(List<ScheduleAction> actions) {
		if (!this.caller.ended) {
			actions.add(new ScheduleAction("caller leaves", ScheduleAction.RARE, this.caller::leave));
		}
		if (!this.stalled && !this.caller.ended) {
			actions.add(new ScheduleAction("gateway is stopped beyond the deadline", ScheduleAction.RARE, () -> {
				this.stalled = true;
				this.thread.stall(LifeScenario.TIMEOUT_MS + 5);
			}));
		}
		if (!this.shutDown && !this.caller.ended) {
			actions.add(new ScheduleAction("gateway shuts down", ScheduleAction.RARE, () -> {
				this.shutDown = true;
				this.dispatcher.endAll();
			}));
		}
		if (!this.roleChanged && this.scenario.prompt().isPresent()) {
			actions.add(new ScheduleAction("p0 becomes a decode engine", ScheduleAction.RARE, () -> {
				this.roleChanged = true;
				this.registry.publish(this.scenario.servers(true));
			}));
		}
	}

	private void start() {
		this.started = true;
		HttpServerExchange exchange = new HttpServerExchange(null, -1);
		exchange.setRequestMethod(Methods.POST).setRequestURI("/path").setQueryString("");
		RequestHead head = new RequestHead(ModelWireFormat.REQUEST_ID, OptionalLong.empty(), Optional.empty(),
				this.scenario.prompt(), OptionalLong.empty(), false, Optional.empty());
		this.dispatcher.start(new RequestInput(exchange, head, new byte[64], this.scenario.route(),
				LifeScenario.SERVICE, Optional.of("w"), 1, this.thread.nowMs(), RequestCharge.NONE), this.caller);
	}

	/**
	 * Makes one of the {@link #actions()} happen and checks the rules.
	 * @param action the event
	 */
	void apply(ScheduleAction action) {
		this.trace.add(action.name());
		action.step().run();
		judge();
	}

	private void judge() {
		long runs = this.calls.all.stream().filter(ModelCall::mayHaveRun).count();
		long strictRuns = this.calls.all.stream().filter(ModelCall::mayHaveRunStrictly).count();
		boolean once = this.scenario.kind() != RouteKind.IDEMPOTENT;
		breakIf(once && runs > 1, LifeRule.RUNS_ONCE);
		breakIf(once && strictRuns > 1, LifeRule.RUNS_ONCE_STRICT_PREFILL);
		breakIf(isRefusedAsNotRun() && runs > 0, LifeRule.REFUSED_NOT_RUN);
		breakIf(isRefusedAsNotRun() && strictRuns > 0, LifeRule.REFUSED_NOT_RUN_STRICT_PREFILL);
	}

	private void onBytes() {
		breakIf(isRefusedAsNotRun(), LifeRule.NOTHING_SENT_AFTER_REFUSAL);
	}

	private void breakIf(boolean condition, LifeRule rule) {
		if (condition) {
			this.broken.add(rule);
		}
	}

	private boolean isRefusedAsNotRun() {
		return PROMISES.contains(this.caller.status);
	}

	/**
	 * Returns the rules that were broken so far.
	 * @return the rules
	 */
	Set<LifeRule> broken() {
		return this.broken;
	}

	/**
	 * Returns what has happened and what the caller got.
	 * @return one line for each event
	 */
	List<String> trace() {
		List<String> lines = new ArrayList<>(this.trace);
		lines.add("=> status " + this.caller.status);
		return lines;
	}

	/**
	 * Returns the status that the caller got.
	 * @return the status; 0 for none
	 */
	int status() {
		return this.caller.status;
	}

	/**
	 * Returns how many times the request was sent.
	 * @return number of calls to servers, without those that free a KV cache
	 */
	int sends() {
		return this.calls.all.size();
	}

	private final class ModelCalls implements HttpCalls {

		private final MemoryBudget memory = new MemoryBudget(100_000_000);

		private final List<ModelCall> all = new ArrayList<>();

		private final Map<String, ModelCall.ModelEngine> engines = new HashMap<>();

		@Override
		public RunningCall start(HttpCall call, HttpCallListener listener) {
			String address = call.target().getAuthority();
			ModelCall started = new ModelCall(name(call, address), call, listener,
					this.engines.computeIfAbsent(address, (key) -> new ModelCall.ModelEngine()));
			if (!ModelWireFormat.isFree(call)) {
				this.all.add(started);
			}
			return started;
		}

		private String name(HttpCall call, String address) {
			String id = RequestLifeSchedule.this.scenario.servers(false)
				.stream()
				.filter((server) -> server.address().equals(address))
				.map(RegisteredServer::id)
				.findFirst()
				.orElse(address);
			return "send " + (this.all.size() + 1) + (ModelWireFormat.isPrefill(call) ? " (prefill)" : "") + " to "
					+ id;
		}

		@Override
		public MemoryBudget memory() {
			return this.memory;
		}

		@Override
		public ByteBufferPool buffers() {
			throw new UnsupportedOperationException("the dispatcher reads no messages");
		}

	}

	private static final class ModelCaller implements CallerResponse {

		private Runnable onDisconnected = () -> {
		};

		private int status;

		private boolean ended;

		void leave() {
			this.ended = true;
			this.onDisconnected.run();
		}

		private void answer(int sentStatus) {
			if (this.status == 0 && !this.ended) {
				this.status = sentStatus;
			}
		}

		@Override
		public void refuse(RefusalReason reason, OptionalLong retryAfterMs) {
			answer(reason.httpStatus());
			this.ended = true;
		}

		@Override
		public void endUnexpectedly(RefusalReason reason, OptionalLong retryAfterMs) {
			throw new AssertionError("an unexpected exception ended the request: " + reason);
		}

		@Override
		public void send(int sentStatus, List<HttpHeader> headers, byte[] body) {
			answer(sentStatus);
			this.ended = true;
		}

		@Override
		public void beginStream(int sentStatus, List<HttpHeader> headers) {
			answer(sentStatus);
		}

		@Override
		public void sendEvents(byte[] events, Runnable onWritten) {
			onWritten.run();
		}

		@Override
		public void endStream() {
			this.ended = true;
		}

		@Override
		public void abort() {
			this.ended = true;
		}

		@Override
		public int pendingBytes() {
			return 0;
		}

		@Override
		public void onCallerDisconnected(Runnable action) {
			this.onDisconnected = action;
		}

	}

	/**
	 * A coordinator that gives any decision at any time, or several.
	 */
	private final class ModelPeers implements ManagedPeerChannel {

		private final Map<MessageType, Receiver> receivers = new EnumMap<>(MessageType.class);

		private final Map<String, Integer> repliesByNumber = new LinkedHashMap<>();

		private final Map<String, String> excludedByNumber = new HashMap<>();

		@Override
		public void send(String peerName, MessageType type, byte[] payload) {
			if (type == MessageType.PLACEMENT_REQUEST) {
				String ask = new String(payload, StandardCharsets.UTF_8);
				String number = ask.substring(1, ask.indexOf(','));
				this.repliesByNumber.put(number, 0);
				this.excludedByNumber.put(number, ask.substring(ask.lastIndexOf('[')));
			}
		}

		void addReplies(List<ScheduleAction> actions) {
			this.repliesByNumber.forEach((number, replies) -> {
				if (replies < MAX_REPLIES) {
					decisions(this.excludedByNumber.get(number))
						.forEach((decision) -> actions.add(new ScheduleAction("coordinator replies " + decision,
								ScheduleAction.UNUSUAL, () -> reply(number, decision))));
				}
			});
		}

		private Stream<String> decisions(String excluded) {
			Optional<String> prefill = Stream.of("p0", "p1").filter((id) -> !excluded.contains(id)).findFirst();
			Optional<String> decode = Stream.of("d0", "d1").filter((id) -> !excluded.contains(id)).findFirst();
			Optional<String> split = prefill
				.flatMap((source) -> decode.map((target) -> "1,\"" + source + "\",\"" + target + "\",3000,false,20"));
			Optional<String> single = decode.map((target) -> "1,\"" + target + "\",\"\",3000,false,20");
			return Stream.concat(Stream.of(split, single).flatMap(Optional::stream), Stream.of("2", "3,500", "5"));
		}

		private void reply(String number, String decision) {
			this.repliesByNumber.merge(number, 1, Integer::sum);
			this.receivers.get(MessageType.PLACEMENT_REPLY)
				.receive(COORDINATOR, ("[" + number + "," + decision + "]").getBytes(StandardCharsets.UTF_8));
		}

		@Override
		public void onMessage(MessageType type, Receiver receiver) {
			this.receivers.put(type, receiver);
		}

		@Override
		public List<Peer> peers() {
			return List.of(new Peer(COORDINATOR, new InetSocketAddress("127.0.0.1", 1), "a", 1));
		}

		@Override
		public String self() {
			return "g";
		}

		@Override
		public void activate() {
			// The channel is always active.
		}

		@Override
		public Optional<PeerRoster> roster() {
			return Optional.empty();
		}

		@Override
		public void remove(Peer peer) {
			throw new UnsupportedOperationException("no gateway is removed");
		}

	}

	private final class ModelLimits implements ServerLimits {

		private final Map<String, Integer> permits = new HashMap<>();

		private Runnable listener = () -> {
		};

		private int grants;

		void addGrant(List<ScheduleAction> actions) {
			if (RequestLifeSchedule.this.scenario.limited() && this.grants < MAX_GRANTS) {
				actions.add(new ScheduleAction("permits are granted", ScheduleAction.UNUSUAL, () -> {
					this.grants++;
					RequestLifeSchedule.this.scenario.servers(false)
						.forEach((server) -> this.permits.merge(server.id(), 1, Integer::sum));
					this.listener.run();
				}));
			}
		}

		@Override
		public boolean isLimited(TrackedServer server) {
			return RequestLifeSchedule.this.scenario.limited();
		}

		@Override
		public boolean hasPermit(TrackedServer server) {
			return !isLimited(server) || this.permits.getOrDefault(server.server().id(), 0) > 0;
		}

		@Override
		public boolean tryTake(TrackedServer server) {
			boolean taken = hasPermit(server);
			if (taken) {
				this.permits.merge(server.server().id(), -1, Integer::sum);
			}
			return taken;
		}

		@Override
		public OptionalLong nextPermitInMs(List<TrackedServer> servers) {
			boolean limited = !servers.isEmpty() && servers.stream().allMatch(this::isLimited);
			return limited ? OptionalLong.of(servers.stream().anyMatch(this::hasPermit) ? 0 : 5) : OptionalLong.empty();
		}

		@Override
		public void onPermits(Runnable placer) {
			this.listener = placer;
		}

		@Override
		public void onWanted(TrackedServer server) {
			// Permits come by chance.
		}

		@Override
		public boolean allowsPolls(RegisteredServer server) {
			return true;
		}

		@Override
		public void countCall(String address) {
			// Calls to free a KV cache need no permit.
		}

		@Override
		public void onResponse(RegisteredServer server, OptionalDouble limitPerS, long requestSentAtMs) {
			// The limits do not change.
		}

		@Override
		public void onInvalid(RegisteredServer server) {
			// The limits do not change.
		}

	}

	private static final class ModelReports implements EngineControlClient {

		private final List<CompletableFuture<Optional<EngineReport>>> asked = new ArrayList<>();

		void addReports(List<ScheduleAction> actions) {
			this.asked.stream()
				.filter((report) -> !report.isDone())
				.findFirst()
				.ifPresent((report) -> actions.add(new ScheduleAction("engine reports its load", ScheduleAction.USUAL,
						() -> report.complete(Optional.of(new EngineReport(EngineRole.DECODE, false, 0, 1, 1))))));
		}

		@Override
		public CompletableFuture<Optional<EngineReport>> report(RegisteredServer engine) {
			CompletableFuture<Optional<EngineReport>> report = new CompletableFuture<>();
			this.asked.add(report);
			return report;
		}

		@Override
		public CompletableFuture<Boolean> acceptsConnections(RegisteredServer server) {
			return new CompletableFuture<>();
		}

		@Override
		public CompletableFuture<Outcome> changeRole(RegisteredServer engine, EngineRole role, OrderIssuer issuer,
				long ordersBefore) {
			throw new UnsupportedOperationException("the dispatcher changes no roles");
		}

	}

	private static final class EmptyTable implements StoreTable {

		@Override
		public CompletableFuture<TableReadResult> page(Optional<String> afterKey) {
			return new CompletableFuture<>();
		}

		@Override
		public CompletableFuture<Boolean> write(String key, Optional<byte[]> value) {
			return new CompletableFuture<>();
		}

		@Override
		public CompletableFuture<TableReadResult> changes(long fromOffset, long waitMs) {
			return new CompletableFuture<>();
		}

	}

	/**
	 * The request of the schedule takes up no stream.
	 */
	private static final class NoStreamOrigins implements StreamOrigins {

		@Override
		public void onBegun(String requestId, StreamOrigin origin) {
		}

		@Override
		public CompletableFuture<OriginSearch> find(String requestId) {
			return CompletableFuture.completedFuture(new OriginSearch.NotRecorded());
		}

	}

}
