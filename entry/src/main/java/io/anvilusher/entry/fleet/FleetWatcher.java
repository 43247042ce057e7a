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
 * Reads the platform's list of VMs again and again, keeps a link to each VM on it and
 * takes leaving VMs out of routing. A list that cannot be read changes nothing. Used on
 * the control thread.
 */
public final class FleetWatcher {

	private static final Logger LOGGER = LoggerFactory.getLogger(FleetWatcher.class);

	private static final long PERIOD_MS = 1000;

	private final String ownVm;

	private final VmList vmList;

	private final ServerDirectory directory;

	private final ControlThread thread;

	private final Function<InetSocketAddress, PeerLink> connector;

	private final Map<String, PeerLink> links = new HashMap<>();

	private volatile List<Vm> vms = List.of();

	private volatile Set<String> leaving = Set.of();

	/**
	 * Creates a watcher.
	 * @param ownVm name of this process's VM
	 * @param vmList the platform's list
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
	 * Starts to read the list.
	 */
	public void start() {
		this.vmList.read().thenAccept((read) -> this.thread.run(() -> {
			read.ifPresent(this::apply);
			this.thread.after(PERIOD_MS, this::start);
		}));
	}

	private void apply(List<Vm> read) {
		Map<String, Vm> others = read.stream()
			.filter((vm) -> !vm.vm().equals(this.ownVm))
			.collect(Collectors.toMap(Vm::vm, Function.identity(), (left, right) -> right));
		others.values().forEach(this::connect);
		Set<String> gone = this.links.keySet()
			.stream()
			.filter((vm) -> !others.containsKey(vm))
			.collect(Collectors.toSet());
		gone.stream().filter((vm) -> this.directory.isIdle(vm)).toList().forEach(this::disconnect);
		Set<String> stopping = others.values()
			.stream()
			.filter((vm) -> vm.leaving())
			.map(Vm::vm)
			.collect(Collectors.toSet());
		stopping.addAll(gone);
		this.vms = List.copyOf(read);
		if (!stopping.equals(this.leaving)) {
			this.leaving = Set.copyOf(stopping);
			this.directory.setLeaving(this.leaving);
			this.directory.connections().forEach(this::notifyLeaving);
		}
	}

	private void connect(Vm vm) {
		Optional<InetSocketAddress> address = SocketAddresses.parse(vm.address());
		PeerLink known = this.links.get(vm.vm());
		if (address.isEmpty()) {
			LOGGER.warn("VM {} has no usable address: {}", vm.vm(), vm.address());
			return;
		}
		if (known != null && known.address().equals(address.get())) {
			return;
		}
		if (known != null) {
			known.close();
		}
		this.links.put(vm.vm(), this.connector.apply(address.get()));
	}

	private void disconnect(String vm) {
		this.links.remove(vm).close();
	}

	/**
	 * Tells a sidecar which VMs are leaving, so that it refuses new work by itself.
	 * @param connection connection to the sidecar
	 */
	public void notifyLeaving(PeerConnection connection) {
		connection.send(Frame.newBuilder().setVmNotice(VmNotice.newBuilder().addAllLeavingVms(this.leaving)).build());
	}

	/**
	 * Returns the VMs of the newest list.
	 * @return the VMs
	 */
	public List<Vm> vms() {
		return this.vms;
	}

	/**
	 * Tells whether there are other entries on the newest list.
	 * @return whether there are
	 */
	public boolean hasOtherEntries() {
		return this.vms.stream()
			.anyMatch((vm) -> vm.role() == VmRole.ENTRY && !vm.leaving() && !vm.vm().equals(this.ownVm));
	}

	/**
	 * Closes all links.
	 */
	public void stop() {
		this.links.values().forEach(PeerLink::close);
	}

}
