package io.anvilusher.logic.limit;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * The keeper's side of the limits that servers name: issues permits to the gateways that
 * ask this one. Each gateway has a keeper, which is idle while no gateway asks it.
 * Confined to one thread.
 */
public final class PermitKeeper {

	/**
	 * Time for which a wish counts as support, in ms. The rest of
	 * {@link PermitHolder#SUPPORT_MS} is a margin for the delay of the fastest message
	 * and for the interval at which support is counted.
	 */
	static final long COUNTED_SUPPORT_MS = 950;

	private final long run;

	private final Electorate electorate = new Electorate();

	private final Map<String, KeptServer> servers = new HashMap<>();

	/**
	 * Creates a keeper.
	 * @param run identifies this run of the process; positive and different in each run
	 */
	public PermitKeeper(long run) {
		this.run = run;
	}

	/**
	 * Sets the registered gateways.
	 * @param capacities the capacities by name of the gateway
	 * @param nowMs current time of the monotonic clock
	 */
	public void setGateways(Map<String, Double> capacities, long nowMs) {
		this.electorate.set(capacities.keySet(), nowMs);
	}

	/**
	 * Sets the limit of a server.
	 * @param serverId identifies an incarnation of the server
	 * @param limitPerS the limit in force in requests per second; empty if it has none
	 * @param nowMs current time of the monotonic clock
	 */
	public void setLimit(String serverId, OptionalDouble limitPerS, long nowMs) {
		if (limitPerS.isEmpty()) {
			this.servers.remove(serverId);
			return;
		}
		this.servers
			.computeIfAbsent(serverId,
					(id) -> new KeptServer(id, this.run, this.electorate, limitPerS.getAsDouble(), nowMs))
			.setLimit(limitPerS.getAsDouble(), nowMs);
	}

	/**
	 * Takes in a wish. A wish for a server whose limit is not known here is not answered,
	 * so that the gateway asks another keeper.
	 * @param gateway name of the gateway that sent it
	 * @param wish the wish
	 * @param nowMs current time of the monotonic clock
	 * @return the grants to be sent now: the answer, and permits for other gateways
	 */
	public List<OutgoingGrant> receive(String gateway, PermitWish wish, long nowMs) {
		KeptServer server = this.servers.get(wish.serverId());
		return (server != null) ? server.receive(gateway, wish, nowMs) : List.of();
	}

	/**
	 * Returns the grants that are due. Called at least every 20 ms while a server has a
	 * limit.
	 * @param nowMs current time of the monotonic clock
	 * @return the grants to be sent now
	 */
	public List<OutgoingGrant> dueGrants(long nowMs) {
		return this.servers.values().stream().flatMap((server) -> server.dueGrants(nowMs).stream()).toList();
	}

}
