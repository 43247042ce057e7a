package io.anvilusher.entry.fleet;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.anvilusher.adapters.control.ControlThread;
import io.anvilusher.adapters.platform.VmList;
import io.anvilusher.adapters.process.SocketAddresses;
import io.anvilusher.entry.dispatch.ServerDirectory;
import io.anvilusher.model.fleet.Vm;
import io.anvilusher.model.fleet.VmRole;
import io.anvilusher.protocol.generated.PeerMessages.Frame;
import io.anvilusher.protocol.generated.PeerMessages.VmNotice;
import io.anvilusher.protocol.transport.PeerConnection;
import io.anvilusher.protocol.transport.PeerLink;

/**
 * Polls the platform's list of VMs, keeps a link to each VM on it and excludes leaving
 * VMs from routing. While the list cannot be read, the last list stays in use. Used on
 * the control thread.
 */
public final class FleetWatcher {

	private static final Logger LOGGER = LoggerFactory.getLogger(FleetWatcher.class);

	private static final long POLL_INTERVAL_MS = 1000;

	private final String ownVm;

	private final VmList vmList;

	private final ServerDirectory directory;

	private final ControlThread thread;

	private final Function<InetSocketAddress, PeerLink> connector;

	private final Map<String, PeerLink> links = new HashMap<>();

	private volatile List<Vm> vms = List.of();

	private volatile boolean listRead;

	private volatile Set<String> leaving = Set.of();

	/**
	 * Creates a watcher.
	 * @param ownVm name of this process's VM
	 * @param vmList reads the platform's list
	 * @param directory the backend servers
	 * @param thread the control thread
	 * @param connector opens a link to an address
	 */
	public FleetWatcher(String ownVm, VmList vmList, ServerDirectory directory, ControlThread thread,
			Function<InetSocketAddress, PeerLink> connector) {
		this.ownVm = ownVm;
		this.vmList = vmList;
		this.directory = directory;
		this.thread = thread;
		this.connector = connector;
	}

	/**
	 * Reads the list and schedules the next read.
	 */
	public void start() {
		this.vmList.read().thenAccept((listed) -> this.thread.run(() -> {
			listed.ifPresent(this::applyVmList);
			this.thread.after(POLL_INTERVAL_MS, this::start);
		}));
	}

	private void applyVmList(List<Vm> listed) {
		Map<String, Vm> others = listed.stream()
			.filter((vm) -> !vm.vm().equals(this.ownVm))
			.collect(Collectors.toMap(Vm::vm, Function.identity(), (left, right) -> right));
		others.values().forEach(this::connect);
		Set<String> unlisted = this.links.keySet()
			.stream()
			.filter((vm) -> !others.containsKey(vm))
			.collect(Collectors.toSet());
		unlisted.stream().filter((vm) -> this.directory.isIdle(vm)).toList().forEach(this::disconnect);
		Set<String> excluded = others.values()
			.stream()
			.filter((vm) -> vm.leaving())
			.map(Vm::vm)
			.collect(Collectors.toSet());
		excluded.addAll(unlisted);
		this.vms = List.copyOf(listed);
		this.listRead = true;
		if (!excluded.equals(this.leaving)) {
			this.leaving = Set.copyOf(excluded);
			this.directory.setLeaving(this.leaving);
			this.directory.connections().forEach(this::notifyLeaving);
		}
	}

	private void connect(Vm vm) {
		Optional<InetSocketAddress> address = SocketAddresses.parse(vm.address());
		PeerLink current = this.links.get(vm.vm());
		if (address.isEmpty()) {
			LOGGER.warn("VM {} has an invalid address, which is ignored: {}", vm.vm(), vm.address());
			return;
		}
		if (current != null && current.address().equals(address.get())) {
			return;
		}
		if (current != null) {
			current.close();
		}
		this.links.put(vm.vm(), this.connector.apply(address.get()));
	}

	private void disconnect(String vm) {
		this.links.remove(vm).close();
	}

	/**
	 * Notifies a sidecar of the VMs that are leaving, so that the sidecar of a leaving VM
	 * refuses new attempts by itself.
	 * @param connection connection to the sidecar
	 */
	public void notifyLeaving(PeerConnection connection) {
		connection.send(Frame.newBuilder().setVmNotice(VmNotice.newBuilder().addAllLeavingVms(this.leaving)).build());
	}

	/**
	 * Returns the VMs of the newest list. May be called on any thread.
	 * @return the VMs; empty until a list was read
	 */
	public List<Vm> vms() {
		return this.vms;
	}

	/**
	 * Returns whether there may be other entries. May be called on any thread.
	 * @return whether the newest list has other entries that are not leaving, or none was
	 * read yet
	 */
	public boolean mayHaveOtherEntries() {
		return !this.listRead || this.vms.stream()
			.anyMatch((vm) -> vm.role() == VmRole.ENTRY && !vm.leaving() && !vm.vm().equals(this.ownVm));
	}

	/**
	 * Closes the links to all VMs.
	 */
	public void stop() {
		this.links.values().forEach(PeerLink::close);
	}

}
