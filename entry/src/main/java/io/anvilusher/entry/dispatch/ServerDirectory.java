package io.anvilusher.entry.dispatch;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import io.anvilusher.adapters.process.MonotonicClock;
import io.anvilusher.logic.routing.ServerPicker;
import io.anvilusher.model.fleet.ServerLoad;
import io.anvilusher.protocol.generated.PeerMessages.ServerReport;
import io.anvilusher.protocol.transport.PeerConnection;

/**
 * The backend servers that this entry is connected to.
 */
public final class ServerDirectory {

	private final MonotonicClock clock;

	private final ServerPicker picker;

	private final Map<PeerConnection, BackendServer> byConnection = new HashMap<>();

	private Set<String> leavingVms = Set.of();

	/**
	 * Creates an empty directory.
	 * @param clock the clock by which the age of reports is measured
	 * @param picker selects among the servers that take work
	 */
	public ServerDirectory(MonotonicClock clock, ServerPicker picker) {
		this.clock = clock;
		this.picker = picker;
	}

	/**
	 * Adds the server of a new connection.
	 * @param connection connection to its sidecar
	 */
	public synchronized void onOpen(PeerConnection connection) {
		this.byConnection.put(connection, new BackendServer(connection));
	}

	/**
	 * Removes the server of a lost connection.
	 * @param connection connection to its sidecar
	 */
	public synchronized void onClosed(PeerConnection connection) {
		this.byConnection.remove(connection);
	}

	/**
	 * Replaces the report of a server.
	 * @param connection the connection that the report arrived on
	 * @param report the newest report of the server
	 */
	public synchronized void onReport(PeerConnection connection, ServerReport report) {
		BackendServer server = this.byConnection.get(connection);
		if (server != null) {
			server.onReport(report, this.clock.nowMs());
		}
	}

	/**
	 * Sets the VMs that get no new work.
	 * @param vms names of the VMs that are leaving or no longer listed
	 */
	public synchronized void setLeaving(Set<String> vms) {
		this.leavingVms = Set.copyOf(vms);
	}

	/**
	 * Selects a server for an attempt and counts the attempt as sent.
	 * @param service name of the service
	 * @param excluded names of servers that are selected only if no other takes work
	 * @param prefixHash hash of the prompt prefix, if there is one
	 * @return the selected server, or whether any server takes work if none was selected
	 */
	synchronized Selection select(String service, Set<String> excluded, OptionalLong prefixHash) {
		Map<String, BackendServer> candidates = new HashMap<>();
		this.byConnection.values()
			.stream()
			.filter((server) -> server.service().equals(service) && takesWork(server))
			.forEach((server) -> candidates.put(server.name(), server));
		if (candidates.isEmpty()) {
			return new Selection(Optional.empty(), false);
		}
		Set<String> names = new HashSet<>(candidates.keySet());
		names.removeAll(excluded);
		if (names.isEmpty()) {
			names = candidates.keySet();
		}
		long nowMs = this.clock.nowMs();
		List<ServerLoad> loads = names.stream().sorted().map((name) -> candidates.get(name).load(nowMs)).toList();
		Optional<BackendServer> selected = this.picker.pick(loads, prefixHash)
			.map((load) -> candidates.get(load.server()));
		selected.ifPresent(BackendServer::onAttemptSent);
		return new Selection(selected, true);
	}

	/**
	 * Selects the server for a suspect and counts the attempt as sent. Every entry
	 * selects the first server by name, whatever its load, so that suspects do not reach
	 * the other servers of the service.
	 * @param service name of the service
	 * @param excluded names of servers that are selected only if no other takes work
	 * @return the selected server, or none if no server takes work
	 */
	synchronized Selection selectForSuspect(String service, Set<String> excluded) {
		Optional<BackendServer> selected = this.byConnection.values()
			.stream()
			.filter((server) -> server.service().equals(service) && takesWork(server))
			.min(Comparator.comparing((BackendServer server) -> excluded.contains(server.name()))
				.thenComparing(BackendServer::name));
		selected.ifPresent(BackendServer::onAttemptSent);
		return new Selection(selected, selected.isPresent());
	}

	/**
	 * Returns whether this entry has no attempt in progress on the server of a VM.
	 * @param vm name of the VM
	 * @return whether there is none, also if there is no such server
	 */
	public synchronized boolean isIdle(String vm) {
		return this.byConnection.values()
			.stream()
			.noneMatch((server) -> server.name().equals(vm) && server.ownOutstanding() > 0);
	}

	/**
	 * Returns whether at least one server of a service takes work.
	 * @param service name of the service
	 * @return whether one does
	 */
	public synchronized boolean hasServers(String service) {
		return this.byConnection.values()
			.stream()
			.anyMatch((server) -> server.service().equals(service) && takesWork(server));
	}

	private boolean takesWork(BackendServer server) {
		return server.takesWork() && !this.leavingVms.contains(server.name());
	}

	/**
	 * Removes an attempt from the count of its server.
	 * @param server the server that was selected for the attempt
	 */
	synchronized void onAttemptEnded(BackendServer server) {
		server.onAttemptEnded();
	}

	synchronized long startBeforeMs(BackendServer server, long windowMs) {
		return server.startBeforeMs(this.clock.nowMs(), windowMs);
	}

	/**
	 * Finds a connected server by its name.
	 * @param name name of the server
	 * @return its connection and incarnation, or empty if it is not connected
	 */
	public synchronized Optional<ConnectedServer> find(String name) {
		return this.byConnection.values()
			.stream()
			.filter((server) -> server.name().equals(name))
			.map((server) -> new ConnectedServer(server.connection(), server.incarnation()))
			.findFirst();
	}

	/**
	 * Returns all connections to sidecars.
	 * @return the connections
	 */
	public synchronized List<PeerConnection> connections() {
		return List.copyOf(this.byConnection.keySet());
	}

	/**
	 * Returns the status of each connected server.
	 * @return the status, sorted by the name of the server
	 */
	public synchronized List<ServerStatus> status() {
		return this.byConnection.values()
			.stream()
			.map((server) -> new ServerStatus(server.name(), server.service(),
					server.connection().remote().getDataCentre(),
					server.report().map(ServerReport::getRunning).orElse(0),
					server.report().map(ServerReport::getSlots).orElse(0), server.ownOutstanding(), takesWork(server),
					server.report().map(ServerReport::getStateOffset).orElse(0L)))
			.sorted((left, right) -> left.server().compareTo(right.server()))
			.toList();
	}

	/**
	 * The result of selecting a server for an attempt.
	 *
	 * @param server the selected server, or empty if none is available
	 * @param anyTakesWork whether any server of the service takes work
	 */
	record Selection(Optional<BackendServer> server, boolean anyTakesWork) {

	}

	/**
	 * A server with an open connection.
	 *
	 * @param connection the connection to its sidecar
	 * @param incarnation incarnation of its sidecar
	 */
	public record ConnectedServer(PeerConnection connection, String incarnation) {

	}

	/**
	 * The status of a connected server.
	 *
	 * @param server name of the server
	 * @param service name of its service
	 * @param dataCentre name of its data centre
	 * @param running number of requests that it runs, by its newest report
	 * @param slots number of requests that it can run at once
	 * @param ownOutstanding attempts in progress that this entry sent to it
	 * @param takesWork whether new requests may be placed on it
	 * @param stateOffset offset of the newest record that its sidecar has folded
	 */
	public record ServerStatus(String server, String service, String dataCentre, int running, int slots,
			int ownOutstanding, boolean takesWork, long stateOffset) {

	}

}
