package io.anvilusher.gateway.limit;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioExecutor;

import io.anvilusher.adapters.process.LogInterval;
import io.anvilusher.adapters.process.MonotonicClock;
import io.anvilusher.gateway.peer.ManagedPeerChannel;
import io.anvilusher.gateway.peer.MessageType;
import io.anvilusher.logic.limit.KnownLimits;
import io.anvilusher.logic.limit.LimitNews;
import io.anvilusher.logic.limit.OutgoingGrant;
import io.anvilusher.logic.limit.PermitGrant;
import io.anvilusher.logic.limit.PermitHolder;
import io.anvilusher.logic.limit.PermitKeeper;
import io.anvilusher.logic.limit.PermitWish;
import io.anvilusher.logic.placement.TrackedServer;
import io.anvilusher.model.fleet.RegisteredServer;

/**
 * Keeps the limits of servers over all gateways by messages: news of limits, wishes for
 * permits to the keeper of a server, and permits to the gateways whose keeper this one
 * is. Does nothing until a limit is named or told. Used on the traffic thread.
 */
public final class SharedServerLimits implements ServerLimits {

	private static final Logger LOGGER = LoggerFactory.getLogger(SharedServerLimits.class);

	private static final long TICK_INTERVAL_MS = 20;

	/**
	 * Shortest time between two reports of a limit to a gateway that takes part in it.
	 */
	private static final long REPEAT_INTERVAL_MS = 1_000;

	private final ManagedPeerChannel channel;

	private final XnioExecutor thread;

	private final MonotonicClock clock;

	private final LimitMeters meters;

	private final ServerIncarnations servers;

	private final KnownLimits known = new KnownLimits();

	private final PermitHolder holder;

	private final PermitKeeper keeper;

	/** The limits in force by incarnation of the server. */
	private final Map<String, Limited> limited = new HashMap<>();

	private final Map<Report, Long> reportedAtMs = new HashMap<>();

	private final LogInterval failureLog = new LogInterval();

	private Runnable permitListener = () -> {
	};

	private Map<String, Double> capacities = Map.of();

	private boolean active;

	private boolean ticking;

	/**
	 * Creates the limits; they become active with the first limit.
	 * @param channel messages between the gateways
	 * @param thread the traffic thread
	 * @param clock the monotonic clock
	 * @param meters metrics of the limits
	 * @param servers returns the registered servers, as another list after each change
	 * @param random chooses the number of this run of the process
	 */
	public SharedServerLimits(ManagedPeerChannel channel, XnioExecutor thread, MonotonicClock clock, LimitMeters meters,
			Supplier<List<RegisteredServer>> servers, RandomGenerator random) {
		long run = random.nextLong(1, Long.MAX_VALUE);
		this.channel = channel;
		this.thread = thread;
		this.clock = clock;
		this.meters = meters;
		this.servers = new ServerIncarnations(servers);
		this.holder = new PermitHolder(channel.self(), run);
		this.keeper = new PermitKeeper(run);
		channel.onMessage(MessageType.SERVER_LIMIT, this::onLimitMessage);
		channel.onMessage(MessageType.PERMIT_WISH, this::onWishMessage);
		channel.onMessage(MessageType.PERMIT_GRANT, this::onGrantMessage);
	}

	@Override
	public void onResponse(RegisteredServer server, OptionalDouble limitPerS, long requestSentAtMs) {
		if (limitPerS.isPresent() || this.active) {
			guard(() -> learn(server, limitPerS, requestSentAtMs));
		}
	}

	private void learn(RegisteredServer server, OptionalDouble limitPerS, long requestSentAtMs) {
		String serverId = ServerIncarnations.id(server);
		refreshServers();
		if (this.servers.find(serverId).isEmpty()) {
			return;
		}
		Optional<LimitNews> news = this.known.onResponse(serverId, limitPerS, requestSentAtMs, this.clock.nowMs());
		applyLimit(serverId);
		news.ifPresent(this::tellAll);
	}

	@Override
	public void onInvalid(RegisteredServer server) {
		this.meters.onInvalid(server, this.clock.nowMs());
	}

	// Also called for servers that are gone, whose limits are no longer known.
	private void applyLimit(String serverId) {
		OptionalDouble limitPerS = this.known.limitPerS(serverId);
		Limited before = this.limited.get(serverId);
		OptionalDouble limitBefore = (before != null) ? OptionalDouble.of(before.limitPerS()) : OptionalDouble.empty();
		if (limitPerS.equals(limitBefore)) {
			return;
		}
		long nowMs = this.clock.nowMs();
		Optional<RegisteredServer> server = this.servers.find(serverId)
			.or(() -> Optional.ofNullable(before).map(Limited::server));
		if (limitPerS.isPresent() && server.isPresent()) {
			this.limited.put(serverId, new Limited(server.get(), limitPerS.getAsDouble()));
			activate();
		}
		else {
			this.limited.remove(serverId);
		}
		server.ifPresent((registered) -> this.meters.onLimit(registered, limitPerS, nowMs));
		this.holder.setLimit(serverId, limitPerS, nowMs);
		this.keeper.setLimit(serverId, limitPerS, nowMs);
		if (limitPerS.isEmpty()) {
			this.permitListener.run();
		}
	}

	private void activate() {
		if (!this.active) {
			this.active = true;
			this.channel.activate();
		}
		if (!this.ticking) {
			this.ticking = true;
			tick();
		}
	}

	private void tick() {
		try {
			guard(this::step);
		}
		finally {
			this.ticking = !this.limited.isEmpty();
			if (this.ticking) {
				this.thread.executeAfter(this::tick, TICK_INTERVAL_MS, TimeUnit.MILLISECONDS);
			}
		}
	}

	private void step() {
		long nowMs = this.clock.nowMs();
		refreshServers();
		refreshGateways(nowMs);
		sendWishes(nowMs);
		this.keeper.dueGrants(nowMs).forEach(this::send);
	}

	private void refreshServers() {
		if (this.servers.refresh() && this.active) {
			this.known.retain(this.servers.ids());
			List.copyOf(this.limited.keySet()).forEach(this::applyLimit);
			this.reportedAtMs.keySet().removeIf((report) -> !this.servers.ids().contains(report.serverId()));
		}
	}

	private void refreshGateways(long nowMs) {
		this.channel.roster().filter((roster) -> !roster.capacities().equals(this.capacities)).ifPresent((roster) -> {
			List<String> added = roster.capacities()
				.keySet()
				.stream()
				.filter((gateway) -> !this.capacities.containsKey(gateway))
				.toList();
			this.capacities = roster.capacities();
			this.holder.setGateways(this.capacities, nowMs);
			this.keeper.setGateways(this.capacities, nowMs);
			this.reportedAtMs.keySet().removeIf((report) -> !this.capacities.containsKey(report.gateway()));
			added.forEach((gateway) -> this.limited.keySet().forEach((serverId) -> report(gateway, serverId)));
		});
	}

	private void tellAll(LimitNews news) {
		this.capacities.keySet().forEach((gateway) -> tell(gateway, news));
	}

	// News may be lost, and a gateway that has just started has heard none.
	private void report(String gateway, String serverId) {
		Report report = new Report(gateway, serverId);
		long nowMs = this.clock.nowMs();
		Long lastMs = this.reportedAtMs.get(report);
		if (lastMs == null || nowMs - lastMs >= REPEAT_INTERVAL_MS) {
			this.known.newest(serverId).ifPresent((news) -> tell(gateway, news));
		}
	}

	private void tell(String gateway, LimitNews news) {
		if (gateway.equals(this.channel.self()) || !LimitMessages.isUsable(news.serverId())) {
			return;
		}
		long nowMs = this.clock.nowMs();
		this.reportedAtMs.put(new Report(gateway, news.serverId()), nowMs);
		this.channel.send(gateway, MessageType.SERVER_LIMIT, LimitMessages
			.encode(new ToldLimit(news.serverId(), news.limitPerS(), Math.max(0, nowMs - news.heardAtMs()))));
	}

	private void sendWishes(long nowMs) {
		this.holder.dueWishes(nowMs).forEach((wish) -> {
			report(wish.gateway(), wish.wish().serverId());
			this.channel.send(wish.gateway(), MessageType.PERMIT_WISH, LimitMessages.encode(wish.wish()));
		});
	}

	private void send(OutgoingGrant grant) {
		this.channel.send(grant.gateway(), MessageType.PERMIT_GRANT, LimitMessages.encode(grant.grant()));
	}

	private void onLimitMessage(String gateway, byte[] payload) {
		Optional<ToldLimit> told = LimitMessages.decodeLimit(payload);
		if (told.isEmpty()) {
			this.meters.onUnreadable();
			return;
		}
		String serverId = told.get().serverId();
		refreshServers();
		if (this.servers.find(serverId).isPresent()) {
			this.known.onNews(serverId, told.get().limitPerS(), told.get().ageMs(), this.clock.nowMs());
			applyLimit(serverId);
		}
	}

	private void onWishMessage(String gateway, byte[] payload) {
		Optional<PermitWish> wish = LimitMessages.decodeWish(payload);
		if (wish.isEmpty()) {
			this.meters.onUnreadable();
			return;
		}
		report(gateway, wish.get().serverId());
		this.keeper.receive(gateway, wish.get(), this.clock.nowMs()).forEach(this::send);
	}

	private void onGrantMessage(String gateway, byte[] payload) {
		Optional<PermitGrant> grant = LimitMessages.decodeGrant(payload);
		if (grant.isEmpty()) {
			this.meters.onUnreadable();
			return;
		}
		this.holder.receive(gateway, grant.get(), this.clock.nowMs());
		if (grant.get().permits() > 0) {
			this.permitListener.run();
		}
	}

	@Override
	public boolean isLimited(TrackedServer server) {
		return !this.limited.isEmpty() && this.limited.containsKey(ServerIncarnations.id(server.server()));
	}

	@Override
	public boolean hasPermit(TrackedServer server) {
		return !isLimited(server) || this.holder.hasPermit(ServerIncarnations.id(server.server()), this.clock.nowMs());
	}

	@Override
	public boolean tryTake(TrackedServer server) {
		if (!isLimited(server)) {
			return true;
		}
		boolean taken = this.holder.tryTake(ServerIncarnations.id(server.server()), this.clock.nowMs());
		if (taken) {
			this.meters.onSent(server.server());
		}
		return taken;
	}

	@Override
	public void onWanted(TrackedServer server) {
		if (isLimited(server)) {
			long nowMs = this.clock.nowMs();
			this.holder.onWanted(ServerIncarnations.id(server.server()), nowMs);
			guard(() -> sendWishes(nowMs));
		}
	}

	@Override
	public void countCall(String address) {
		this.limited.forEach((serverId, limit) -> {
			if (limit.server().address().equals(address)) {
				this.holder.countCall(serverId, this.clock.nowMs());
				this.meters.onSent(limit.server());
			}
		});
	}

	@Override
	public OptionalLong nextPermitInMs(List<TrackedServer> candidates) {
		if (this.limited.isEmpty() || !candidates.stream().allMatch(this::isLimited)) {
			return OptionalLong.empty();
		}
		long nowMs = this.clock.nowMs();
		return candidates.stream()
			.map((server) -> this.holder.nextPermitInMs(ServerIncarnations.id(server.server()), nowMs))
			.flatMapToLong(OptionalLong::stream)
			.min();
	}

	@Override
	public void onPermits(Runnable listener) {
		this.permitListener = listener;
	}

	// An exception ends the step, neither a request nor the traffic thread.
	private void guard(Runnable step) {
		try {
			step.run();
		}
		catch (RuntimeException | Error ex) {
			if (this.failureLog.tryLog(this.clock.nowMs())) {
				LOGGER.error("Unexpected exception while limits of servers were kept; the step ends, later ones are "
						+ "run", ex);
			}
		}
	}

	/**
	 * A limit in force.
	 *
	 * @param server registration of the server
	 * @param limitPerS the limit in requests per second
	 */
	private record Limited(RegisteredServer server, double limitPerS) {

	}

	/**
	 * A report of the limit of a server to a gateway.
	 *
	 * @param gateway name of the gateway
	 * @param serverId identifies an incarnation of the server
	 */
	private record Report(String gateway, String serverId) {

	}

}
