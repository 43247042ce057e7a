package io.anvilusher.logic.limit;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The gateways that wait for permits of a server. The one that got none for the longest
 * time comes first, so that each gateway has its turn, also if it waits only at times.
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

	/**
	 * Adds a gateway, or renews its wish.
	 * @param gateway name of the gateway
	 * @param wish the wish
	 * @param sentMs time at which the wish was sent, on the clock of the keeper
	 * @param lastTurn number of the last turn of the gateway; negative if it had none
	 */
	void add(String gateway, PermitWish wish, long sentMs, long lastTurn) {
		this.waiting.put(gateway, new Waiting(gateway, wish, sentMs, lastTurn));
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
		return this.waiting.values()
			.stream()
			.filter((one) -> nowMs - one.sentMs() <= MAX_WISH_AGE_MS)
			.sorted(Comparator.comparingLong(Waiting::lastTurn))
			.toList();
	}

	/**
	 * Returns how many gateways get a permit before a gateway.
	 * @param gateway name of the gateway; it need not be waiting
	 * @param lastTurn number of its last turn
	 * @return the number of gateways that wait and had their last turn earlier
	 */
	int ahead(String gateway, long lastTurn) {
		return (int) this.waiting.values()
			.stream()
			.filter((one) -> one.lastTurn() < lastTurn && !one.gateway().equals(gateway))
			.count();
	}

	/**
	 * A waiting gateway.
	 *
	 * @param gateway its name
	 * @param wish its newest wish
	 * @param sentMs time at which the wish was sent, on the clock of the keeper
	 * @param lastTurn number of its last turn; negative if it had none
	 */
	record Waiting(String gateway, PermitWish wish, long sentMs, long lastTurn) {

	}

}
