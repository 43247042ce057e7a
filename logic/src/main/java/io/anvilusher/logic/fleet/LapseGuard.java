package io.anvilusher.logic.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;

import io.anvilusher.model.fleet.RegisteredServer;

/**
 * Keeps servers in use whose registration expired during an outage of the store, until
 * they have had time to register again. Without this, an outage that lets all
 * registrations expire at once would leave no server for requests. Not safe for use by
 * several threads.
 */
public final class LapseGuard {

	/**
	 * Time after an outage, in ms, within which running servers have registered again.
	 */
	public static final long REREGISTRATION_MS = 2_300;

	/**
	 * Shortest outage, in ms, in which registrations may have expired. It is one
	 * heartbeat interval of a server; a single failed read takes less time.
	 */
	static final long MIN_OUTAGE_MS = 1_000;

	private Map<String, RegisteredServer> lastInUse = Map.of();

	private OptionalLong outageSinceMs = OptionalLong.empty();

	private long keepUntilMs = Long.MIN_VALUE / 2;

	/**
	 * Records that the store is unreachable.
	 * @param nowMs monotonic time, in ms
	 */
	public void onUnreachable(long nowMs) {
		if (this.outageSinceMs.isEmpty()) {
			this.outageSinceMs = OptionalLong.of(nowMs);
		}
	}

	/**
	 * Records that the store is reachable again.
	 * @param nowMs monotonic time, in ms
	 */
	public void onReachable(long nowMs) {
		if (nowMs - this.outageSinceMs.orElse(nowMs) >= MIN_OUTAGE_MS) {
			this.keepUntilMs = nowMs + REREGISTRATION_MS;
		}
		this.outageSinceMs = OptionalLong.empty();
	}

	/**
	 * Selects the servers that are in use.
	 * @param registered the servers that are registered now, by id
	 * @param nowMs monotonic time, in ms
	 * @return the registered servers and, shortly after an outage, also those that were
	 * in use before, except draining ones and those whose address now belongs to a
	 * registered server
	 */
	public Map<String, RegisteredServer> inUse(Map<String, RegisteredServer> registered, long nowMs) {
		Map<String, RegisteredServer> next = new HashMap<>(registered);
		if (nowMs < this.keepUntilMs) {
			Set<String> takenAddresses = registered.values()
				.stream()
				.map(RegisteredServer::address)
				.collect(Collectors.toSet());
			this.lastInUse.values()
				.stream()
				.filter((server) -> !server.draining())
				.filter((server) -> !takenAddresses.contains(server.address()))
				.forEach((server) -> next.putIfAbsent(server.id(), server));
		}
		this.lastInUse = Map.copyOf(next);
		return this.lastInUse;
	}

}
