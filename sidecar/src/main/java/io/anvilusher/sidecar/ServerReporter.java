package io.anvilusher.sidecar;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;

import io.anvilusher.adapters.control.ControlFollower;
import io.anvilusher.adapters.process.ProcessIdentity;
import io.anvilusher.protocol.generated.PeerMessages.Frame;
import io.anvilusher.protocol.generated.PeerMessages.ServerReport;
import io.anvilusher.protocol.transport.PeerConnection;
import io.anvilusher.sidecar.attempt.AdmissionGate;

/**
 * Reports the load and state of the backend server to the connected entries: immediately
 * when a connection opens, shortly after a change, and at a fixed interval. A report also
 * carries the clock of this process, which entries use to set the time before which an
 * attempt must start.
 */
final class ServerReporter {

	private static final long INTERVAL_MS = 2000;

	private static final long CHANGE_DELAY_MS = 20;

	private final SidecarSettings settings;

	private final ProcessIdentity identity;

	private final ControlFollower follower;

	private final AdmissionGate gate;

	private final Set<PeerConnection> entries = ConcurrentHashMap.newKeySet();

	private final AtomicBoolean reportScheduled = new AtomicBoolean();

	ServerReporter(SidecarSettings settings, ProcessIdentity identity, ControlFollower follower, AdmissionGate gate) {
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
		if (this.reportScheduled.compareAndSet(false, true)) {
			this.follower.thread().after(CHANGE_DELAY_MS, () -> {
				this.reportScheduled.set(false);
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
		AdmissionGate.Snapshot snapshot = this.gate.snapshot();
		return Frame.newBuilder()
			.setServerReport(ServerReport.newBuilder()
				.setServer(this.settings.server())
				.setService(this.settings.service())
				.setDataCentre(this.settings.dataCentre())
				.setIncarnation(this.identity.incarnation())
				.setNowMs(this.follower.clock().nowMs())
				.setRunning(snapshot.running())
				.setSlots(snapshot.slots())
				.setDraining(snapshot.draining())
				.setReachable(snapshot.reachable())
				.setStateOffset(this.follower.state().appliedOffset()))
			.build();
	}

}
