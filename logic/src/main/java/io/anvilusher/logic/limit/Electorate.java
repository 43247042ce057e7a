package io.anvilusher.logic.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * The registered gateways, of which more than half must support the keeper of a server
 * for the full rate.
 */
final class Electorate {

	/**
	 * Time after which all gateways have read that a gateway joined. Before, a keeper
	 * that has not read it may issue permits at the full rate without it.
	 */
	static final long JOIN_MS = 15_000;

	/** Number of gateways that is assumed while the list of gateways is not known. */
	static final int ASSUMED_GATEWAYS = 100;

	/** A gateway that returns within this time has not joined anew. */
	private static final long RETURN_MS = 60_000;

	private Set<String> registered = Set.of();

	private final Map<String, Seen> seen = new HashMap<>();

	void set(Set<String> gateways, long nowMs) {
		this.registered = Set.copyOf(gateways);
		this.registered.forEach((gateway) -> this.seen.merge(gateway, new Seen(nowMs, nowMs),
				(before, now) -> new Seen(before.firstMs(), nowMs)));
		this.seen.values().removeIf((gateway) -> nowMs - gateway.lastMs() > RETURN_MS);
	}

	/**
	 * Returns whether a gateway counts as a supporter.
	 * @param gateway name of a gateway
	 * @return whether it is registered, or the list of gateways is not known
	 */
	boolean contains(String gateway) {
		return this.registered.isEmpty() || this.registered.contains(gateway);
	}

	int size() {
		return this.registered.isEmpty() ? ASSUMED_GATEWAYS : this.registered.size();
	}

	/**
	 * Returns whether all gateways know that a gateway is registered.
	 * @param gateway name of a gateway
	 * @param nowMs current time of the monotonic clock
	 * @return whether it joined at least {@link #JOIN_MS} ago
	 */
	boolean isSettled(String gateway, long nowMs) {
		Seen known = this.seen.get(gateway);
		return contains(gateway) && known != null && nowMs - known.firstMs() >= JOIN_MS;
	}

	/**
	 * When a gateway was in the list.
	 *
	 * @param firstMs time at which it was first read
	 * @param lastMs time at which it was last read
	 */
	private record Seen(long firstMs, long lastMs) {

	}

}
