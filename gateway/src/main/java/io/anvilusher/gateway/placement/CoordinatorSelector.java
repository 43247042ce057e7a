package io.anvilusher.gateway.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.anvilusher.gateway.peer.Peer;
import io.anvilusher.logic.routing.Rendezvous;

/**
 * Selects the coordinator of a placement group among the gateways, in the same order on
 * all of them. A gateway that does not answer is not asked for a while.
 */
final class CoordinatorSelector {

	/** Missing replies in a row after which a gateway is not asked for a while. */
	static final int MAX_MISSES = 2;

	/** Time for which a gateway that does not answer is not asked. */
	static final long SUSPENSION_MS = 1_000;

	/** Time for which a gateway that shuts down is not asked. */
	static final long UNAVAILABLE_MS = 4_000;

	/**
	 * Exponent of the capacity in the weight of a gateway. A coordinator handles the
	 * messages of all gateways, so small ones are to be selected only if there are no
	 * others.
	 */
	static final double CAPACITY_EXPONENT = 4;

	private final Map<String, Integer> missesByPeer = new HashMap<>();

	private final Map<String, Long> suspendedUntilMs = new HashMap<>();

	/**
	 * Selects the coordinator.
	 * @param group the placement group
	 * @param peers the registered gateways
	 * @param nowMs current time of the monotonic clock
	 * @return name of the first gateway in the order of the group that is not suspended;
	 * empty if there is none
	 */
	Optional<String> select(PlacementGroup group, List<Peer> peers, long nowMs) {
		return Rendezvous
			.sortByRank(peers,
					(peer) -> Rendezvous.rank(peer.name(), group.name(),
							Math.pow(Math.max(0.01, peer.capacity()), CAPACITY_EXPONENT)))
			.stream()
			.map(Peer::name)
			.filter((name) -> this.suspendedUntilMs.getOrDefault(name, Long.MIN_VALUE) <= nowMs)
			.findFirst();
	}

	void onReply(String peer) {
		this.missesByPeer.remove(peer);
	}

	/**
	 * Records that a gateway did not answer in time.
	 * @param peer name of the gateway
	 * @param nowMs current time of the monotonic clock
	 * @return whether it is suspended now
	 */
	boolean onMissingReply(String peer, long nowMs) {
		if (this.missesByPeer.merge(peer, 1, Integer::sum) < MAX_MISSES) {
			return false;
		}
		this.missesByPeer.remove(peer);
		this.suspendedUntilMs.put(peer, nowMs + SUSPENSION_MS);
		return true;
	}

	void onUnavailable(String peer, long nowMs) {
		this.suspendedUntilMs.put(peer, nowMs + UNAVAILABLE_MS);
	}

}
