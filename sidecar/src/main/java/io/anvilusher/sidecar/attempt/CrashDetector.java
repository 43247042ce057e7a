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
 * Distinguishes a crash of the backend server from a single broken connection, and
 * collects the fingerprints of the requests that were running. A crash makes all attempts
 * fail at once, so failures within a short time are attributed to the same crash.
 */
public final class CrashDetector implements AttemptEndListener {

	private static final Logger LOGGER = LoggerFactory.getLogger(CrashDetector.class);

	private static final long COLLECTION_MS = 50;

	private final String incarnation;

	private final ControlThread thread;

	private final Supplier<CompletableFuture<Boolean>> probe;

	private final BiConsumer<String, Set<String>> onSuspectedCrash;

	private final BiConsumer<String, Set<String>> onCrash;

	private Set<String> collectedFingerprints = new HashSet<>();

	private int suspectedCrashCount;

	/**
	 * Creates a detector.
	 * @param incarnation incarnation of this process, the prefix of crash ids
	 * @param thread thread on which a suspected crash is confirmed
	 * @param probe checks whether the backend server is up
	 * @param onSuspectedCrash called on a suspected crash with its id and the
	 * fingerprints of the requests that were running, before any of them can be retried
	 * @param onCrash called once the crash is confirmed, with its id and all fingerprints
	 * collected by then
	 */
	public CrashDetector(String incarnation, ControlThread thread, Supplier<CompletableFuture<Boolean>> probe,
			BiConsumer<String, Set<String>> onSuspectedCrash, BiConsumer<String, Set<String>> onCrash) {
		this.incarnation = incarnation;
		this.thread = thread;
		this.probe = probe;
		this.onSuspectedCrash = onSuspectedCrash;
		this.onCrash = onCrash;
	}

	@Override
	public synchronized void onAttemptEnded(AttemptStart start, Optional<AttemptFailure> failure,
			List<String> runningFingerprints) {
		if (failure.filter((reason) -> reason == AttemptFailure.SERVER_CRASHED).isEmpty()) {
			return;
		}
		boolean first = this.collectedFingerprints.isEmpty();
		this.collectedFingerprints.addAll(runningFingerprints);
		if (!first) {
			return;
		}
		this.suspectedCrashCount++;
		String crashId = this.incarnation + "/" + this.suspectedCrashCount;
		this.onSuspectedCrash.accept(crashId, Set.copyOf(this.collectedFingerprints));
		this.thread.after(COLLECTION_MS,
				() -> this.probe.get().thenAccept((up) -> this.thread.run(() -> confirm(crashId, up))));
	}

	private void confirm(String crashId, boolean up) {
		Set<String> fingerprints;
		synchronized (this) {
			fingerprints = this.collectedFingerprints;
			this.collectedFingerprints = new HashSet<>();
		}
		if (up) {
			return;
		}
		LOGGER.warn("Backend server crashed with {} different requests in progress (crash {}); recording the crash",
				fingerprints.size(), crashId);
		this.onCrash.accept(crashId, fingerprints);
	}

}
