package io.anvilusher.logic.limit;

import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

import io.anvilusher.logic.routing.Rendezvous;

/**
 * The gateways that may keep a server, in the order in which they are asked.
 *
 * @param registered number of registered gateways
 * @param candidates the gateways, first choice first; this gateway is always among them
 */
record KeeperRanking(int registered, List<String> candidates) {

	/** Bounds the time in which a gateway has asked all candidates. */
	private static final int MAX_CANDIDATES = 5;

	/**
	 * Ranks the gateways for a server.
	 * @param capacities the capacities by name of the gateway
	 * @param serverId identifies an incarnation of the server
	 * @param self name of this gateway
	 * @return the ranking
	 */
	static KeeperRanking of(Map<String, Double> capacities, String serverId, String self) {
		List<String> ranked = Rendezvous.sortByRank(capacities.keySet().stream().sorted().toList(),
				(name) -> Rendezvous.rank(name, serverId, Math.max(capacities.get(name), Double.MIN_NORMAL)));
		int registered = capacities.isEmpty() ? Electorate.ASSUMED_GATEWAYS : capacities.size();
		return new KeeperRanking(registered,
				Stream.concat(ranked.stream().limit(MAX_CANDIDATES), Stream.of(self)).distinct().toList());
	}

	boolean isMajority(int supporters) {
		return 2 * supporters > this.registered;
	}

}
