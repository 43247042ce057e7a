package io.anvilusher.gateway.limit;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import io.anvilusher.model.fleet.RegisteredServer;

/**
 * The registered servers by the identifiers of their incarnations. All gateways use the
 * same identifier for a start of a server at an address.
 */
final class ServerIncarnations {

	private final Supplier<List<RegisteredServer>> registered;

	private List<RegisteredServer> applied = List.of();

	private Map<String, RegisteredServer> byId = Map.of();

	/**
	 * Creates an instance.
	 * @param registered returns the registered servers, as another list after each change
	 */
	ServerIncarnations(Supplier<List<RegisteredServer>> registered) {
		this.registered = registered;
	}

	/**
	 * Returns the identifier of an incarnation.
	 * @param server registration of the server
	 * @return the identifier
	 */
	static String id(RegisteredServer server) {
		return server.id() + "@" + server.startedAtMs() + "@" + server.address();
	}

	/**
	 * Applies the newest list of servers.
	 * @return whether it is another one than before
	 */
	boolean refresh() {
		List<RegisteredServer> newest = this.registered.get();
		if (newest == this.applied) {
			return false;
		}
		this.applied = newest;
		this.byId = newest.stream()
			.collect(Collectors.toUnmodifiableMap(ServerIncarnations::id, (server) -> server,
					(first, second) -> second));
		return true;
	}

	Optional<RegisteredServer> find(String incarnationId) {
		return Optional.ofNullable(this.byId.get(incarnationId));
	}

	Set<String> ids() {
		return this.byId.keySet();
	}

}
