package io.anvilusher.gateway.fleet;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Collectors;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.anvilusher.adapters.process.MonotonicClock;
import io.anvilusher.logic.placement.AcceptingServers;
import io.anvilusher.logic.placement.TrackedServer;
import io.anvilusher.model.fleet.RegisteredServer;

/**
 * The registered servers and those that take new requests, by service. Used from the
 * traffic thread only, except for {@link #publish}.
 */
public final class ServerRegistry {

	private static final Logger LOGGER = LoggerFactory.getLogger(ServerRegistry.class);

	/**
	 * Maximum of servers that are remembered after their registration was removed: those
	 * of a large fleet.
	 */
	private static final int MAX_GONE_SERVERS = 4_096;

	private final MonotonicClock clock;

	private volatile Publication published;

	private Publication applied;

	private Map<String, TrackedServer> trackedById = Map.of();

	private Map<String, List<TrackedServer>> registeredAsReady = Map.of();

	private final Map<String, TrackedServer> goneWithAnnouncement = new LinkedHashMap<>() {

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, TrackedServer> eldest) {
			return size() > MAX_GONE_SERVERS;
		}

	};

	/**
	 * Creates a registry without servers.
	 * @param clock the monotonic clock
	 */
	public ServerRegistry(MonotonicClock clock) {
		this.clock = clock;
		this.published = new Publication(List.of(), clock.nowMs());
		this.applied = this.published;
	}

	/**
	 * Replaces the list of servers. May be called from any thread. All later calls of
	 * other methods use the new list, however busy the traffic thread is.
	 * @param servers all servers in use, including draining ones
	 */
	public void publish(List<RegisteredServer> servers) {
		this.published = new Publication(servers, this.clock.nowMs());
	}

	/**
	 * Applies the newest list of servers, if that has not happened yet. The tracked state
	 * (load, health) of a server is kept as long as its registration shows the same
	 * server start and address. What a server announced also outlives the loss of its
	 * registration.
	 */
	public void applyPublished() {
		Publication newest = this.published;
		if (newest != this.applied) {
			this.applied = newest;
			apply(newest.servers());
		}
	}

	private void apply(List<RegisteredServer> servers) {
		Map<String, TrackedServer> next = new HashMap<>();
		servers.forEach((server) -> next.put(server.id(), trackedServer(server)));
		this.trackedById.forEach((id, tracked) -> {
			if (!next.containsKey(id)) {
				LOGGER.info("Server {} of service {} is gone", id, tracked.server().service());
				if (tracked.availability().hasAnnouncement()) {
					this.goneWithAnnouncement.put(id, tracked);
				}
			}
		});
		this.trackedById = next;
		this.registeredAsReady = next.values()
			.stream()
			.filter((tracked) -> !tracked.server().draining())
			.collect(Collectors.groupingBy((tracked) -> tracked.server().service()));
	}

	private TrackedServer trackedServer(RegisteredServer server) {
		TrackedServer existing = this.trackedById.get(server.id());
		if (existing == null || !existing.server().isSameIncarnation(server)) {
			LOGGER.info("Server {} of service {} at {} is known, draining={}, role={}, software_version={}",
					server.id(), server.service(), server.address(), server.draining(), server.role(),
					server.softwareVersion());
			return goneServer(server).orElseGet(() -> new TrackedServer(server));
		}
		if (existing.server().draining() != server.draining() || !existing.server().role().equals(server.role())) {
			LOGGER.atInfo()
				.addKeyValue("age_ms", this.clock.nowMs() - this.applied.publishedAtMs())
				.log("Server {} of service {} changed: draining={}, role={}", server.id(), server.service(),
						server.draining(), server.role());
		}
		existing.update(server);
		return existing;
	}

	// Without a start time, a registration that comes back may be that of a restarted
	// server.
	private Optional<TrackedServer> goneServer(RegisteredServer server) {
		Optional<TrackedServer> gone = Optional.ofNullable(this.goneWithAnnouncement.remove(server.id()))
			.filter((tracked) -> server.startedAtMs() != 0 && tracked.server().isSameIncarnation(server));
		gone.ifPresent((tracked) -> tracked.update(server));
		return gone;
	}

	/**
	 * Records that responses of servers could not be read for a while, because the
	 * traffic thread was busy.
	 * @param delayMs duration of that time
	 */
	public void onObserverDelay(long delayMs) {
		long nowMs = this.clock.nowMs();
		trackedById().values().forEach((tracked) -> tracked.onObserverDelay(delayMs, nowMs));
	}

	/**
	 * Returns the servers of a service that take new requests. Servers for requests of
	 * any step, and engines that are asked for their load before that, are selected from
	 * these only.
	 * @param service name of the service
	 * @return the servers that are not registered as draining, have not announced that
	 * they are leaving and have no pause in effect; empty if there are none
	 */
	public List<TrackedServer> servers(String service) {
		return AcceptingServers.select(registeredAsReady(service), this.clock.nowMs());
	}

	/**
	 * Returns whether a server of a service pauses that could run complete requests.
	 * @param service name of the service
	 * @return whether there is one
	 */
	public boolean isAnyPaused(String service) {
		return AcceptingServers.isAnyPaused(registeredAsReady(service), this.clock.nowMs());
	}

	/**
	 * Returns when the first server takes requests again if all of a service pause.
	 * @param service name of the service
	 * @return the time in ms; empty if not all of them pause
	 */
	public OptionalLong firstAcceptsInMs(String service) {
		return AcceptingServers.firstAcceptsInMs(registeredAsReady(service), this.clock.nowMs());
	}

	/**
	 * Returns how much longer the server at an address is to get no requests.
	 * @param address address (IP and port) of the server
	 * @return the time in ms; 0 if no pause is in effect
	 */
	public long pauseLeftMs(String address) {
		return trackedById().values()
			.stream()
			.filter((tracked) -> tracked.server().address().equals(address))
			.mapToLong((tracked) -> tracked.availability().pauseLeftMs(this.clock.nowMs()))
			.max()
			.orElse(0);
	}

	private List<TrackedServer> registeredAsReady(String service) {
		applyPublished();
		return this.registeredAsReady.getOrDefault(service, List.of());
	}

	/**
	 * Returns whether a server takes new requests.
	 * @param server registration of the server
	 * @return whether it is one of the {@link #servers servers} of its service
	 */
	public boolean isAccepting(RegisteredServer server) {
		return tracked(server).filter((tracked) -> !tracked.server().draining())
			.filter((tracked) -> tracked.availability().isAccepting(this.clock.nowMs()))
			.isPresent();
	}

	/**
	 * Returns whether servers of a software version are registered.
	 * @param service name of the service
	 * @param softwareVersion the version
	 * @return whether there is one, even if it is draining or pauses
	 */
	public boolean isRegistered(String service, String softwareVersion) {
		return trackedById().values()
			.stream()
			.map(TrackedServer::server)
			.anyMatch((server) -> server.service().equals(service) && server.softwareVersion().equals(softwareVersion));
	}

	/**
	 * Returns the tracked state of a server.
	 * @param server a registration of the server
	 * @return the state, or empty if this incarnation of the server is gone
	 */
	public Optional<TrackedServer> tracked(RegisteredServer server) {
		return Optional.ofNullable(trackedById().get(server.id()))
			.filter((tracked) -> tracked.server().isSameIncarnation(server));
	}

	private Map<String, TrackedServer> trackedById() {
		applyPublished();
		return this.trackedById;
	}

	/**
	 * A list of servers as handed over by another thread.
	 *
	 * @param servers all servers in use, including draining ones
	 * @param publishedAtMs time of the monotonic clock at which it was handed over, in ms
	 */
	private record Publication(List<RegisteredServer> servers, long publishedAtMs) {

		Publication {
			servers = List.copyOf(servers);
		}

	}

}
