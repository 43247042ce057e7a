package io.anvilusher.logic.limit;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;

/**
 * This gateway's side of the limits that servers name: spends the permits that the
 * keepers issued, and asks for others. Confined to one thread.
 */
public final class PermitHolder {

	/** Validity of a permit from the time at which the wish for it was sent, in ms. */
	public static final long PERMIT_MS = 500;

	/** Time for which a wish supports its keeper, from the time of sending, in ms. */
	public static final long SUPPORT_MS = 1_000;

	/** Interval at which servers are looked at for which no request was wanted. */
	private static final long SCAN_INTERVAL_MS = 20;

	/** Time between two scans from which this gateway counts as paused. */
	private static final long PAUSE_MS = 250;

	private final String self;

	private final long run;

	private final Map<String, HeldServer> servers = new HashMap<>();

	private final Set<HeldServer> wanted = new LinkedHashSet<>();

	private Map<String, Double> capacities = Map.of();

	private long lastFullScanMs = Long.MIN_VALUE / 2;

	/**
	 * Creates the holder.
	 * @param self name of this gateway
	 * @param run identifies this run of the process; positive and different in each run
	 */
	public PermitHolder(String self, long run) {
		this.self = self;
		this.run = run;
	}

	/**
	 * Sets the registered gateways.
	 * @param capacities the capacities by name of the gateway
	 * @param nowMs current time of the monotonic clock
	 */
	public void setGateways(Map<String, Double> capacities, long nowMs) {
		if (this.capacities.equals(capacities)) {
			return;
		}
		this.capacities = Map.copyOf(capacities);
		this.servers.forEach((serverId, server) -> server.setRanking(ranking(serverId), nowMs));
	}

	/**
	 * Sets the limit of a server.
	 * @param serverId identifies an incarnation of the server
	 * @param limitPerS the limit in force in requests per second; empty if it has none
	 * @param nowMs current time of the monotonic clock
	 */
	public void setLimit(String serverId, OptionalDouble limitPerS, long nowMs) {
		if (limitPerS.isPresent()) {
			this.servers.computeIfAbsent(serverId, (id) -> new HeldServer(id, this.run, ranking(id), nowMs))
				.setLimit(limitPerS.getAsDouble(), nowMs);
		}
		else {
			Optional.ofNullable(this.servers.get(serverId)).ifPresent(HeldServer::endLimit);
		}
	}

	private KeeperRanking ranking(String serverId) {
		return KeeperRanking.of(this.capacities, serverId, this.self);
	}

	private Optional<HeldServer> limited(String serverId) {
		return Optional.ofNullable(this.servers.get(serverId)).filter(HeldServer::isLimited);
	}

	/**
	 * Returns whether a request may be sent to a server now.
	 * @param serverId identifies an incarnation of the server
	 * @param nowMs current time of the monotonic clock
	 * @return true if there is a permit or the server has no limit
	 */
	public boolean hasPermit(String serverId, long nowMs) {
		return limited(serverId).map((server) -> server.hasPermit(nowMs)).orElse(true);
	}

	/**
	 * Uses a permit for a request that is sent now.
	 * @param serverId identifies an incarnation of the server
	 * @param nowMs current time of the monotonic clock
	 * @return true if there was a permit or the server has no limit
	 */
	public boolean tryTake(String serverId, long nowMs) {
		return limited(serverId).map((server) -> server.tryTake(nowMs)).orElse(true);
	}

	/**
	 * Counts a request that would have gone to a server if there were a permit. Called
	 * again at least every 100 ms for a request that waits, and not for one that is
	 * refused, which could not use a permit.
	 * @param serverId identifies an incarnation of the server
	 * @param nowMs current time of the monotonic clock
	 */
	public void onWanted(String serverId, long nowMs) {
		limited(serverId).ifPresent((server) -> {
			server.onWanted(nowMs);
			this.wanted.add(server);
		});
	}

	/**
	 * Counts a call that is sent whether or not there is a permit.
	 * @param serverId identifies an incarnation of the server
	 * @param nowMs current time of the monotonic clock
	 */
	public void countCall(String serverId, long nowMs) {
		limited(serverId).ifPresent((server) -> server.countCall(nowMs));
	}

	/**
	 * Estimates when a request can be sent to a server.
	 * @param serverId identifies an incarnation of the server
	 * @param nowMs current time of the monotonic clock
	 * @return the time until then in ms; empty if the server has no limit
	 */
	public OptionalLong nextPermitInMs(String serverId, long nowMs) {
		return limited(serverId).map((server) -> OptionalLong.of(server.nextPermitInMs(nowMs)))
			.orElse(OptionalLong.empty());
	}

	/**
	 * Takes in a grant.
	 * @param gateway name of the gateway that sent it
	 * @param grant the grant
	 * @param nowMs current time of the monotonic clock
	 */
	public void receive(String gateway, PermitGrant grant, long nowMs) {
		if (grant.gatewayRun() == this.run) {
			limited(grant.serverId()).ifPresent((server) -> server.receive(gateway, grant, nowMs));
		}
	}

	/**
	 * Returns the wishes that are due. Called after {@link #onWanted} and at least every
	 * 20 ms while a server has a limit.
	 * @param nowMs current time of the monotonic clock
	 * @return the wishes to be sent now
	 */
	public List<OutgoingWish> dueWishes(long nowMs) {
		boolean full = nowMs - this.lastFullScanMs >= SCAN_INTERVAL_MS;
		if (full) {
			if (nowMs - this.lastFullScanMs > PAUSE_MS) {
				this.servers.values().forEach((server) -> server.onPaused(nowMs));
			}
			this.lastFullScanMs = nowMs;
			this.servers.values().removeIf((server) -> server.isOver(nowMs));
		}
		List<OutgoingWish> due = (full ? this.servers.values().stream() : this.wanted.stream())
			.flatMap((server) -> server.dueWish(nowMs).stream())
			.toList();
		this.wanted.clear();
		return due;
	}

}
