package io.anvilusher.logic.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;

import io.anvilusher.model.fleet.RegisteredServer;

/**
 * Keeps servers whose registration lapsed while the store was away, until they had time
 * to register again. Load pattern: an outage of the store that ends with all
 * registrations lapsed at once. Used from one thread.
 */
public final class LapseGuard {

	/**
	 * Time after the store's return by which servers are registered again, in ms. Source:
	 * letter 2.
	 */
	public static final long RETURN_MS = 2_300;

	/**
	 * Outage from which registrations may have lapsed, in ms. Source: a heartbeat of a
	 * server; a single failed read is shorter.
	 */
	static final long MIN_OUTAGE_MS = 1_000;

	private Map<String, RegisteredServer> shown = Map.of();

	private OptionalLong outageSinceMs = OptionalLong.empty();

	private long holdUntilMs = Long.MIN_VALUE / 2;

	/**
	 * Notes that the store does not answer.
	 * @param nowMs the time
	 */
	public void onUnreachable(long nowMs) {
		if (this.outageSinceMs.isEmpty()) {
			this.outageSinceMs = OptionalLong.of(nowMs);
		}
	}

	/**
	 * Notes that the store answers again.
	 * @param nowMs the time
	 */
	public void onReachable(long nowMs) {
		if (nowMs - this.outageSinceMs.orElse(nowMs) >= MIN_OUTAGE_MS) {
			this.holdUntilMs = nowMs + RETURN_MS;
		}
		this.outageSinceMs = OptionalLong.empty();
	}

	/**
	 * Decides which servers are in use.
	 * @param registered the servers that are registered now
	 * @param nowMs the time
	 * @return those and, shortly after an outage, the ones that were in use before; a
	 * server that registered at the address of another one replaces it
	 */
	public Map<String, RegisteredServer> inUse(Map<String, RegisteredServer> registered, long nowMs) {
		Map<String, RegisteredServer> next = new HashMap<>(registered);
		if (nowMs < this.holdUntilMs) {
			Set<String> takenAddresses = registered.values()
				.stream()
				.map(RegisteredServer::address)
				.collect(Collectors.toSet());
			this.shown.values()
				.stream()
				.filter((server) -> !server.draining())
				.filter((server) -> !takenAddresses.contains(server.address()))
				.forEach((server) -> next.putIfAbsent(server.id(), server));
		}
		this.shown = Map.copyOf(next);
		return this.shown;
	}

}
