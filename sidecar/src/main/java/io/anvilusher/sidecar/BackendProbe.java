package io.anvilusher.sidecar;

import java.util.concurrent.CompletableFuture;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.anvilusher.adapters.control.ControlThread;
import io.anvilusher.adapters.http.HttpCall;
import io.anvilusher.adapters.http.HttpCaller;
import io.anvilusher.sidecar.attempt.ServerGate;

/**
 * Asks the backend server again and again whether it is up.
 */
final class BackendProbe {

	private static final Logger LOGGER = LoggerFactory.getLogger(BackendProbe.class);

	private static final long PERIOD_MS = 500;

	private static final long TIMEOUT_MS = 2000;

	private static final int FIRST_SERVER_ERROR = 500;

	private final HttpCaller caller;

	private final SidecarSettings settings;

	private final ServerGate gate;

	private final Runnable onChange;

	private boolean reachable = true;

	BackendProbe(HttpCaller caller, SidecarSettings settings, ServerGate gate, Runnable onChange) {
		this.caller = caller;
		this.settings = settings;
		this.gate = gate;
		this.onChange = onChange;
	}

	void start(ControlThread thread) {
		thread.run(() -> probe(thread));
	}

	/**
	 * Asks the backend server once.
	 * @return whether it answers; never fails exceptionally
	 */
	CompletableFuture<Boolean> isUp() {
		HttpCall call = HttpCall.of("GET", this.settings.backend(), this.settings.healthPath(), new byte[0]);
		return this.caller.call(call, TIMEOUT_MS)
			.handle((answer, failure) -> failure == null && answer.status() < FIRST_SERVER_ERROR);
	}

	private void probe(ControlThread thread) {
		isUp().thenAccept((up) -> thread.run(() -> {
			note(up);
			thread.after(PERIOD_MS, () -> probe(thread));
		}));
	}

	private void note(boolean up) {
		this.gate.setReachable(up);
		if (up != this.reachable) {
			this.reachable = up;
			LOGGER.info("Backend server {} is {}", this.settings.server(), up ? "up" : "down");
			this.onChange.run();
		}
	}

}
