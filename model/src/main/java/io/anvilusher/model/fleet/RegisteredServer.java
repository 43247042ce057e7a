package io.anvilusher.model.fleet;

import java.util.Optional;

/**
 * A backend server as it registered itself.
 *
 * @param id identity of the server, unique among all services
 * @param startedAtMs time of day at which it started, in milliseconds since 1970; zero if
 * it does not say
 * @param service name of its service
 * @param address IP number and port where it takes requests
 * @param dataCentre its data centre
 * @param slots requests that it runs at once
 * @param draining whether it is leaving
 * @param role part of a model engine; empty for other servers
 */
public record RegisteredServer(String id, long startedAtMs, String service, String address, String dataCentre,
		int slots, boolean draining, Optional<EngineRole> role) {

	/**
	 * Tells whether an entry is about the same life of the same server.
	 * @param other another entry
	 * @return whether both name the same server since the same start
	 */
	public boolean isSameLife(RegisteredServer other) {
		return this.id.equals(other.id) && this.startedAtMs == other.startedAtMs && this.address.equals(other.address);
	}

}
