package io.anvilusher.sidecar;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;

import io.anvilusher.adapters.control.ControlFollower;
import io.anvilusher.adapters.process.ProcessIdentity;
import io.anvilusher.protocol.generated.PeerMessages.Frame;
import io.anvilusher.protocol.generated.PeerMessages.ServerReport;
import io.anvilusher.protocol.transport.PeerConnection;
import io.anvilusher.sidecar.attempt.ServerGate;

/**
 * Tells the entries of the backend server's load and state: at once when a connection
 * opens, soon after a change, and at least once in each interval. A report also carries
 * the time against which entries limit the start of attempts.
 */
final class ServerReporter {

	private static final long INTERVAL_MS = 2000;

	private static final long CHANGE_DELAY_MS = 20;

	private final SidecarSettings settings;

	private final ProcessIdentity identity;

	private final ControlFollower follower;

	private final ServerGate gate;

	private final Set<PeerConnection> entries = ConcurrentHashMap.newKeySet();

	private final AtomicBoolean changePlanned = new AtomicBoolean();

	ServerReporter(SidecarSettings settings, ProcessIdentity identity, ControlFollower follower, ServerGate gate) {
		this.settings = settings;
		this.identity = identity;
		this.follower = follower;
		this.gate = gate;
	}

	void start() {
		this.follower.thread().every(INTERVAL_MS, this::reportToAll);
	}

	void onOpen(PeerConnection entry) {
		this.entries.add(entry);
		entry.send(report());
	}

	void onClosed(PeerConnection entry) {
		this.entries.remove(entry);
	}

	void onChange() {
		if (this.changePlanned.compareAndSet(false, true)) {
			this.follower.thread().after(CHANGE_DELAY_MS, () -> {
				this.changePlanned.set(false);
				reportToAll();
			});
		}
	}

	void reportToAll() {
		broadcast(report());
	}

	void broadcast(Frame frame) {
		this.entries.forEach((entry) -> entry.send(frame));
	}

	private Frame report() {
		ServerGate.View view = this.gate.view();
		return Frame.newBuilder()
			.setServerReport(ServerReport.newBuilder()
				.setServer(this.settings.server())
				.setService(this.settings.service())
				.setDataCentre(this.settings.dataCentre())
				.setIncarnation(this.identity.incarnation())
				.setNowMs(this.follower.clock().nowMs())
				.setRunning(view.running())
				.setSlots(view.slots())
				.setDraining(view.draining())
				.setReachable(view.reachable())
				.setStateOffset(this.follower.state().appliedOffset()))
			.build();
	}

}
