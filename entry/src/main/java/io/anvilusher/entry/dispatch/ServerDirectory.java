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
	 * @param clock the clock
	 * @param picker picks among servers
	 */
	public ServerDirectory(MonotonicClock clock, ServerPicker picker) {
		this.clock = clock;
		this.picker = picker;
	}

	/**
	 * Adds a server.
	 * @param connection connection to its sidecar
	 */
	public synchronized void onOpen(PeerConnection connection) {
		this.byConnection.put(connection, new BackendServer(connection));
	}

	/**
	 * Removes a server.
	 * @param connection connection to its sidecar
	 */
	public synchronized void onClosed(PeerConnection connection) {
		this.byConnection.remove(connection);
	}

	/**
	 * Takes in a report.
	 * @param connection connection that it came from
	 * @param report the report
	 */
	public synchronized void onReport(PeerConnection connection, ServerReport report) {
		BackendServer server = this.byConnection.get(connection);
		if (server != null) {
			server.onReport(report, this.clock.nowMs());
		}
	}

	/**
	 * Sets the VMs that get no new work.
	 * @param vms names of the VMs that leave or are gone
	 */
	public synchronized void setLeaving(Set<String> vms) {
		this.leavingVms = Set.copyOf(vms);
	}

	/**
	 * Picks a server for an attempt and counts the attempt as sent.
	 * @param service the service
	 * @param excluded servers that shall not be picked
	 * @param prefixHash hash of the prompt's beginning, if there is one
	 * @return the server, or why there is none
	 */
	synchronized Picked pick(String service, Set<String> excluded, OptionalLong prefixHash) {
		Map<String, BackendServer> usable = new HashMap<>();
		this.byConnection.values()
			.stream()
			.filter((server) -> server.service().equals(service) && takesWork(server))
			.forEach((server) -> usable.put(server.name(), server));
		if (usable.isEmpty()) {
			return new Picked(Optional.empty(), false);
		}
		Set<String> names = new HashSet<>(usable.keySet());
		names.removeAll(excluded);
		if (names.isEmpty()) {
			names = usable.keySet();
		}
		long nowMs = this.clock.nowMs();
		List<ServerLoad> loads = names.stream().sorted().map((name) -> usable.get(name).load(nowMs)).toList();
		Optional<BackendServer> picked = this.picker.pick(loads, prefixHash).map((load) -> usable.get(load.server()));
		picked.ifPresent(BackendServer::onAttemptSent);
		return new Picked(picked, true);
	}

	/**
	 * Picks the server on which all entries run the suspects of a service, whatever its
	 * load, so that the other servers are kept from them, and counts the attempt as sent.
	 * @param service the service
	 * @param excluded servers that shall not be picked
	 * @return the server, or why there is none
	 */
	synchronized Picked pickForSuspect(String service, Set<String> excluded) {
		Optional<BackendServer> first = this.byConnection.values()
			.stream()
			.filter((server) -> server.service().equals(service) && takesWork(server))
			.min(Comparator.comparing((BackendServer server) -> excluded.contains(server.name()))
				.thenComparing(BackendServer::name));
		first.ifPresent(BackendServer::onAttemptSent);
		return new Picked(first, first.isPresent());
	}

	/**
	 * Tells whether this entry has no attempt on a VM's server.
	 * @param vm name of the VM
	 * @return whether it has none
	 */
	public synchronized boolean isIdle(String vm) {
		return this.byConnection.values()
			.stream()
			.noneMatch((server) -> server.name().equals(vm) && server.ownOutstanding() > 0);
	}

	/**
	 * Tells whether any server of a service takes work.
	 * @param service the service
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
	 * Notes the end of an attempt.
	 * @param server the server
	 */
	synchronized void onAttemptEnded(BackendServer server) {
		server.onAttemptEnded();
	}

	synchronized long startBeforeMs(BackendServer server, long windowMs) {
		return server.startBeforeMs(this.clock.nowMs(), windowMs);
	}

	/**
	 * Finds a server.
	 * @param name its name
	 * @return its connection and incarnation, or empty if there is no connection
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
	 * Returns what is known of each server.
	 * @return the servers, by name
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
	 * A server picked for an attempt.
	 *
	 * @param server the server, or empty if none has a free slot
	 * @param known whether any server of the service takes work
	 */
	record Picked(Optional<BackendServer> server, boolean known) {

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
	 * What is known of a server.
	 *
	 * @param server its name
	 * @param service its service
	 * @param dataCentre its data centre
	 * @param running calls that it runs by its newest report
	 * @param slots calls that it runs at once
	 * @param ownOutstanding calls of this entry
	 * @param takesWork whether it gets new work
	 * @param stateOffset newest offset that its sidecar has folded
	 */
	public record ServerStatus(String server, String service, String dataCentre, int running, int slots,
			int ownOutstanding, boolean takesWork, long stateOffset) {

	}

}
