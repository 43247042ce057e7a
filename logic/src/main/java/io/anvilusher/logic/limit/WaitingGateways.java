package io.anvilusher.logic.limit;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The gateways that wait for permits of a server, in the order of their turn. A gateway
 * keeps its turn while it renews its wish.
 */
final class WaitingGateways {

	/**
	 * Age of a wish up to which a gateway gets permits for it. It has the rest of their
	 * validity to use them.
	 */
	private static final long MAX_WISH_AGE_MS = 350;

	/** Age of a wish after which the gateway has lost its turn. */
	private static final long LOST_MS = 1_000;

	private final Map<String, Waiting> waiting = new LinkedHashMap<>();

	private long tickets;

	void add(String gateway, PermitWish wish, long sentMs) {
		Waiting before = this.waiting.get(gateway);
		long ticket = (before != null) ? before.ticket() : ++this.tickets;
		this.waiting.put(gateway, new Waiting(gateway, wish, sentMs, ticket));
	}

	void remove(String gateway) {
		this.waiting.remove(gateway);
	}

	boolean isEmpty() {
		return this.waiting.isEmpty();
	}

	/**
	 * Returns the gateways that get permits now, and forgets those that no longer wait.
	 * @param nowMs current time of the monotonic clock
	 * @return the gateways in the order of their turn
	 */
	List<Waiting> ready(long nowMs) {
		this.waiting.values().removeIf((one) -> nowMs - one.sentMs() > LOST_MS);
		return this.waiting.values().stream().filter((one) -> nowMs - one.sentMs() <= MAX_WISH_AGE_MS).toList();
	}

	/**
	 * Returns how many gateways get a permit before a gateway.
	 * @param gateway name of the gateway; it need not be waiting
	 * @return at most the number of the waiting gateways
	 */
	int ahead(String gateway) {
		Waiting own = this.waiting.get(gateway);
		if (own == null) {
			return this.waiting.size();
		}
		long firstTicket = this.waiting.values().iterator().next().ticket();
		return (int) Math.min(this.waiting.size() - 1L, own.ticket() - firstTicket);
	}

	/**
	 * A waiting gateway.
	 *
	 * @param gateway its name
	 * @param wish its newest wish
	 * @param sentMs time at which the wish was sent, on the clock of the keeper
	 * @param ticket number of its turn
	 */
	record Waiting(String gateway, PermitWish wish, long sentMs, long ticket) {

	}

}
