package io.anvilusher.gateway.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.anvilusher.logic.placement.ServerTrack;
import io.anvilusher.model.fleet.RegisteredServer;

/**
 * The servers that take new requests, by service. Used from the traffic thread.
 */
public final class FleetBoard {

	private static final Logger LOGGER = LoggerFactory.getLogger(FleetBoard.class);

	private Map<String, ServerTrack> tracks = Map.of();

	private Map<String, List<ServerTrack>> byService = Map.of();

	/**
	 * Takes over a list of servers. What is known of a server lasts while it lives.
	 * @param servers all registered servers
	 */
	public void apply(List<RegisteredServer> servers) {
		Map<String, ServerTrack> next = new HashMap<>();
		servers.forEach((server) -> next.put(server.id(), trackOf(server)));
		this.tracks.forEach((id, track) -> {
			if (!next.containsKey(id)) {
				LOGGER.info("Server {} of service {} is gone", id, track.server().service());
			}
		});
		this.tracks = next;
		this.byService = next.values()
			.stream()
			.filter((track) -> !track.server().draining())
			.collect(Collectors.groupingBy((track) -> track.server().service()));
	}

	private ServerTrack trackOf(RegisteredServer server) {
		ServerTrack known = this.tracks.get(server.id());
		if (known == null || !known.server().isSameLife(server)) {
			LOGGER.info("Server {} of service {} at {} is known, draining={}, role={}", server.id(), server.service(),
					server.address(), server.draining(), server.role());
			return new ServerTrack(server);
		}
		if (known.server().draining() != server.draining() || !known.server().role().equals(server.role())) {
			LOGGER.info("Server {} of service {} changed: draining={}, role={}", server.id(), server.service(),
					server.draining(), server.role());
		}
		known.update(server);
		return known;
	}

	/**
	 * Returns the servers of a service that take new requests.
	 * @param service name of the service
	 * @return the servers
	 */
	public List<ServerTrack> servers(String service) {
		return this.byService.getOrDefault(service, List.of());
	}

}
