package io.anvilusher.model.fleet;

import java.util.Optional;

/**
 * A backend server with the data that it registered for itself.
 *
 * @param id id of the server, unique among all services
 * @param startedAtMs time at which the server started, in ms since 1970; 0 if unknown
 * @param service name of its service
 * @param address IP address and port at which it receives requests
 * @param dataCentre name of its data centre
 * @param slots number of requests that it runs at once
 * @param draining whether it is leaving and must get no new requests
 * @param role role of a model engine; empty for other servers
 * @param softwareVersion version of the software that it runs; empty if unknown
 */
public record RegisteredServer(String id, long startedAtMs, String service, String address, String dataCentre,
		int slots, boolean draining, Optional<EngineRole> role, String softwareVersion) {

	/**
	 * Creates the registration of a server whose software version is unknown.
	 * @param id id of the server, unique among all services
	 * @param startedAtMs time at which the server started, in ms since 1970; 0 if unknown
	 * @param service name of its service
	 * @param address address (IP and port) at which it receives requests
	 * @param dataCentre name of its data centre
	 * @param slots number of requests that it runs at once
	 * @param draining whether it is leaving and must get no new requests
	 * @param role role of a model engine; empty for other servers
	 */
	public RegisteredServer(String id, long startedAtMs, String service, String address, String dataCentre, int slots,
			boolean draining, Optional<EngineRole> role) {
		this(id, startedAtMs, service, address, dataCentre, slots, draining, role, "");
	}

	/**
	 * Returns whether two registrations come from the same incarnation of a server, with
	 * no restart in between.
	 * @param other the other registration
	 * @return whether id, start time, address and software version are the same
	 */
	public boolean isSameIncarnation(RegisteredServer other) {
		return this.id.equals(other.id) && this.startedAtMs == other.startedAtMs && this.address.equals(other.address)
				&& this.softwareVersion.equals(other.softwareVersion);
	}

	/**
	 * Returns whether two servers run the same version of their software, so that what
	 * one wrote into a KV cache fits to the other.
	 * @param other registration of the other server
	 * @return whether the versions are equal; true also if both are unknown
	 */
	public boolean runsSoftwareOf(RegisteredServer other) {
		return this.softwareVersion.equals(other.softwareVersion);
	}

}
