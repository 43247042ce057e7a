package io.anvilusher.logic.allowance;

import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

import io.anvilusher.logic.routing.Rendezvous;

/**
 * The registered gateways in the order in which they are asked to be the allocator.
 *
 * @param registered number of registered gateways
 * @param includesSelf whether this gateway is registered
 * @param candidates gateways that may be the allocator, first choice first; this gateway
 * is always among them
 */
record GatewayRanking(int registered, boolean includesSelf, List<String> candidates) {

	/** No gateway is known. */
	static final GatewayRanking EMPTY = new GatewayRanking(0, false, List.of());

	private static final String KEY = "allowances";

	/** Bounds the time in which a gateway has asked all candidates. */
	private static final int MAX_CANDIDATES = 5;

	/**
	 * Ranks the gateways.
	 * @param capacities the capacities by name of the gateway
	 * @param self name of this gateway
	 * @return the ranking
	 */
	static GatewayRanking of(Map<String, Double> capacities, String self) {
		if (capacities.isEmpty()) {
			return EMPTY;
		}
		List<String> ranked = Rendezvous.sortByRank(capacities.keySet().stream().sorted().toList(),
				(name) -> Rendezvous.rank(name, KEY, Math.max(capacities.get(name), Double.MIN_NORMAL)));
		List<String> first = ranked.stream().limit(MAX_CANDIDATES).toList();
		return new GatewayRanking(capacities.size(), capacities.containsKey(self),
				Stream.concat(first.stream(), Stream.of(self)).distinct().toList());
	}

}
