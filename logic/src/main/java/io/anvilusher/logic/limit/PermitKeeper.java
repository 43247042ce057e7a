package io.anvilusher.logic.limit;

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
	 * Creates a keeper.
	 * @param run identifies this run of the process; positive and different in each run
	 */
	public PermitKeeper(long run) {
	}

	/**
	 * Sets the registered gateways.
	 * @param capacities the capacities by name of the gateway
	 * @param nowMs current time of the monotonic clock
	 */
	public void setGateways(Map<String, Double> capacities, long nowMs) {
	}

	/**
	 * Sets the limit of a server.
	 * @param serverId identifies an incarnation of the server
	 * @param limitPerS the limit in force in requests per second; empty if it has none
	 * @param nowMs current time of the monotonic clock
	 */
	public void setLimit(String serverId, OptionalDouble limitPerS, long nowMs) {
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
		return List.of();
	}

	/**
	 * Returns the grants that are due. Called at least every 20 ms while a server has a
	 * limit.
	 * @param nowMs current time of the monotonic clock
	 * @return the grants to be sent now
	 */
	public List<OutgoingGrant> dueGrants(long nowMs) {
		return List.of();
	}

}
