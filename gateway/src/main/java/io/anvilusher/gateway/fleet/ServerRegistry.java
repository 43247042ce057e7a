package io.anvilusher.gateway.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.anvilusher.logic.placement.TrackedServer;
import io.anvilusher.model.fleet.RegisteredServer;

/**
 * The registered servers and those that take new requests, by service. Used from the
 * traffic thread only.
 */
public final class ServerRegistry {

	private static final Logger LOGGER = LoggerFactory.getLogger(ServerRegistry.class);

	private Map<String, TrackedServer> trackedById = Map.of();

	private Map<String, List<TrackedServer>> acceptingByService = Map.of();

	/**
	 * Replaces the list of servers. The tracked state (load, health) of a server is kept
	 * as long as its registration shows the same server start and address.
	 * @param servers all servers in use, including draining ones
	 */
	public void apply(List<RegisteredServer> servers) {
		Map<String, TrackedServer> next = new HashMap<>();
		servers.forEach((server) -> next.put(server.id(), trackedServer(server)));
		this.trackedById.forEach((id, tracked) -> {
			if (!next.containsKey(id)) {
				LOGGER.info("Server {} of service {} is gone", id, tracked.server().service());
			}
		});
		this.trackedById = next;
		this.acceptingByService = next.values()
			.stream()
			.filter((tracked) -> !tracked.server().draining())
			.collect(Collectors.groupingBy((tracked) -> tracked.server().service()));
	}

	private TrackedServer trackedServer(RegisteredServer server) {
		TrackedServer existing = this.trackedById.get(server.id());
		if (existing == null || !existing.server().isSameIncarnation(server)) {
			LOGGER.info("Server {} of service {} at {} is known, draining={}, role={}", server.id(), server.service(),
					server.address(), server.draining(), server.role());
			return new TrackedServer(server);
		}
		if (existing.server().draining() != server.draining() || !existing.server().role().equals(server.role())) {
			LOGGER.info("Server {} of service {} changed: draining={}, role={}", server.id(), server.service(),
					server.draining(), server.role());
		}
		existing.update(server);
		return existing;
	}

	/**
	 * Records that responses of servers could not be read for a while, because the
	 * traffic thread was busy.
	 * @param delayMs duration of that time
	 */
	public void onObserverDelay(long delayMs) {
		this.trackedById.values().forEach((tracked) -> tracked.onObserverDelay(delayMs));
	}

	/**
	 * Returns the servers of a service that take new requests.
	 * @param service name of the service
	 * @return the servers that are not draining; empty if there are none
	 */
	public List<TrackedServer> servers(String service) {
		return this.acceptingByService.getOrDefault(service, List.of());
	}

}
