package io.anvilusher.sidecar.attempt;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.anvilusher.adapters.control.ControlThread;
import io.anvilusher.model.request.AttemptFailure;
import io.anvilusher.protocol.generated.PeerMessages.AttemptStart;

/**
 * Tells a crash of the backend server from a single connection that broke, and notes
 * which requests were running. One crash breaks all attempts at once, so those that fail
 * within a short time belong to the same crash.
 */
public final class CrashDetector implements AttemptEndListener {

	private static final Logger LOGGER = LoggerFactory.getLogger(CrashDetector.class);

	private static final long GATHER_MS = 50;

	private final String incarnation;

	private final ControlThread thread;

	private final Supplier<CompletableFuture<Boolean>> probe;

	private final BiConsumer<String, Set<String>> onSuspicion;

	private final BiConsumer<String, Set<String>> onCrash;

	private Set<String> running = new HashSet<>();

	private int suspicions;

	/**
	 * Creates a detector.
	 * @param incarnation incarnation of this process
	 * @param thread runs the gathering
	 * @param probe tells whether the backend server takes connections
	 * @param onSuspicion receives the id of a crash that is likely and the fingerprints
	 * of the requests that were running, before any of them can be sent again
	 * @param onCrash receives the same once the crash is certain
	 */
	public CrashDetector(String incarnation, ControlThread thread, Supplier<CompletableFuture<Boolean>> probe,
			BiConsumer<String, Set<String>> onSuspicion, BiConsumer<String, Set<String>> onCrash) {
		this.incarnation = incarnation;
		this.thread = thread;
		this.probe = probe;
		this.onSuspicion = onSuspicion;
		this.onCrash = onCrash;
	}

	@Override
	public synchronized void onAttemptEnded(AttemptStart start, Optional<AttemptFailure> failure,
			List<String> runningFingerprints) {
		if (failure.filter((reason) -> reason == AttemptFailure.SERVER_CRASHED).isEmpty()) {
			return;
		}
		boolean first = this.running.isEmpty();
		this.running.addAll(runningFingerprints);
		if (!first) {
			return;
		}
		this.suspicions++;
		String crashId = this.incarnation + "/" + this.suspicions;
		this.onSuspicion.accept(crashId, Set.copyOf(this.running));
		this.thread.after(GATHER_MS,
				() -> this.probe.get().thenAccept((up) -> this.thread.run(() -> conclude(crashId, up))));
	}

	private void conclude(String crashId, boolean up) {
		Set<String> gathered;
		synchronized (this) {
			gathered = this.running;
			this.running = new HashSet<>();
		}
		if (up) {
			return;
		}
		LOGGER.warn("The backend server crashed while {} different requests ran", gathered.size());
		this.onCrash.accept(crashId, gathered);
	}

}
