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
import io.anvilusher.logic.limit.MessageAges;
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

	/** Smallest limit of a server that is polled: several times the rate of the polls. */
	private static final double MIN_POLLED_LIMIT_PER_S = 5;

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

	/** The limits that were told last to other gateways; NaN for one that has ended. */
	private final Map<Recipient, Double> told = new HashMap<>();

	private final MessageAges ages = new MessageAges();

	private final long run;

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
		this.run = random.nextLong(1, Long.MAX_VALUE);
		this.channel = channel;
		this.thread = thread;
		this.clock = clock;
		this.meters = meters;
		this.servers = new ServerIncarnations(servers);
		this.holder = new PermitHolder(channel.self(), this.run);
		this.keeper = new PermitKeeper(this.run);
		channel.onMessage(MessageType.SERVER_LIMIT, this::onLimitMessage);
		channel.onMessage(MessageType.PERMIT_WISH, this::onWishMessage);
		channel.onMessage(MessageType.PERMIT_GRANT, this::onGrantMessage);
	}

	@Override
	public void onResponse(RegisteredServer server, OptionalDouble limitPerS, long requestSentAtMs) {
		if (this.active || limitPerS.isPresent()) {
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
		onResponse(server, OptionalDouble.of(Double.NaN), Long.MIN_VALUE);
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
			this.told.keySet().removeIf((recipient) -> !this.servers.ids().contains(recipient.serverId()));
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
			this.told.keySet().removeIf((recipient) -> !this.capacities.containsKey(recipient.gateway()));
			added.forEach((gateway) -> this.limited.keySet().forEach((serverId) -> tellNewest(gateway, serverId)));
		});
	}

	private void tellAll(LimitNews news) {
		refreshGateways(this.clock.nowMs());
		this.capacities.keySet().forEach((gateway) -> tell(gateway, news));
	}

	private void tellNewest(String gateway, String serverId) {
		this.known.newest(serverId).ifPresent((news) -> tell(gateway, news));
	}

	private void tell(String gateway, LimitNews news) {
		if (gateway.equals(this.channel.self()) || !LimitMessages.isUsable(news.serverId())) {
			return;
		}
		long nowMs = this.clock.nowMs();
		this.told.put(new Recipient(gateway, news.serverId()), news.limitPerS().orElse(Double.NaN));
		this.channel.send(gateway, MessageType.SERVER_LIMIT, LimitMessages.encode(new ToldLimit(news.serverId(),
				news.limitPerS(), Math.max(0, nowMs - news.heardAtMs()), this.run, nowMs)));
	}

	private void sendWishes(long nowMs) {
		this.holder.dueWishes(nowMs).forEach((wish) -> {
			if (LimitMessages.isUsable(wish.wish().serverId())) {
				tellKeeper(wish.gateway(), wish.wish().serverId());
				this.channel.send(wish.gateway(), MessageType.PERMIT_WISH, LimitMessages.encode(wish.wish()));
			}
		});
	}

	// A keeper does not answer wishes for a limit that it has not heard of.
	private void tellKeeper(String gateway, String serverId) {
		Double toldBefore = this.told.get(new Recipient(gateway, serverId));
		this.known.newest(serverId)
			.filter((news) -> !Double.valueOf(news.limitPerS().orElse(Double.NaN)).equals(toldBefore))
			.ifPresent((news) -> tell(gateway, news));
	}

	private void send(OutgoingGrant grant) {
		this.channel.send(grant.gateway(), MessageType.PERMIT_GRANT, LimitMessages.encode(grant.grant()));
	}

	private void onLimitMessage(String gateway, byte[] payload) {
		LimitMessages.decodeLimit(payload)
			.ifPresentOrElse((message) -> receive(gateway, message), this.meters::onUnreadable);
	}

	private void receive(String gateway, ToldLimit message) {
		long nowMs = this.clock.nowMs();
		long ageMs = message.ageMs() + this.ages.transitMs(gateway, message.run(), message.sentAtMs(), nowMs);
		refreshServers();
		if (this.servers.find(message.serverId()).isPresent()) {
			this.known.onNews(message.serverId(), message.limitPerS(), ageMs, nowMs);
			applyLimit(message.serverId());
			this.known.correction(message.serverId(), message.limitPerS(), ageMs, nowMs)
				.ifPresent((news) -> tell(gateway, news));
		}
	}

	private void onWishMessage(String gateway, byte[] payload) {
		LimitMessages.decodeWish(payload).ifPresentOrElse((wish) -> receive(gateway, wish), this.meters::onUnreadable);
	}

	private void receive(String gateway, PermitWish wish) {
		long nowMs = this.clock.nowMs();
		this.ages.transitMs(gateway, wish.run(), wish.sequence(), nowMs);
		if (this.known.limitPerS(wish.serverId()).isEmpty()) {
			tellNewest(gateway, wish.serverId());
		}
		this.keeper.receive(gateway, wish, nowMs).forEach(this::send);
	}

	private void onGrantMessage(String gateway, byte[] payload) {
		LimitMessages.decodeGrant(payload)
			.ifPresentOrElse((grant) -> receive(gateway, grant), this.meters::onUnreadable);
	}

	private void receive(String gateway, PermitGrant grant) {
		this.holder.receive(gateway, grant, this.clock.nowMs());
		if (grant.permits() > 0) {
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
	public boolean allowsPolls(RegisteredServer server) {
		Limited limit = this.limited.isEmpty() ? null : this.limited.get(ServerIncarnations.id(server));
		return limit == null || limit.limitPerS() >= MIN_POLLED_LIMIT_PER_S;
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
	 * A gateway that was told the limit of a server.
	 *
	 * @param gateway name of the gateway
	 * @param serverId identifies an incarnation of the server
	 */
	private record Recipient(String gateway, String serverId) {

	}

}
