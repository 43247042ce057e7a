package io.anvilusher.sidecar;

import java.util.concurrent.CompletableFuture;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.anvilusher.adapters.control.ControlThread;
import io.anvilusher.adapters.http.BufferingHttpClient;
import io.anvilusher.adapters.http.HttpCall;
import io.anvilusher.sidecar.attempt.AdmissionGate;

/**
 * Periodically checks the health of the backend server.
 */
final class BackendProbe {

	private static final Logger LOGGER = LoggerFactory.getLogger(BackendProbe.class);

	private static final long PROBE_INTERVAL_MS = 500;

	private static final long TIMEOUT_MS = 2000;

	private static final int MIN_SERVER_ERROR_STATUS = 500;

	private final BufferingHttpClient httpClient;

	private final SidecarSettings settings;

	private final AdmissionGate gate;

	private final Runnable onChange;

	private boolean reachable = true;

	BackendProbe(BufferingHttpClient httpClient, SidecarSettings settings, AdmissionGate gate, Runnable onChange) {
		this.httpClient = httpClient;
		this.settings = settings;
		this.gate = gate;
		this.onChange = onChange;
	}

	void start(ControlThread thread) {
		thread.run(() -> probe(thread));
	}

	/**
	 * Checks the health of the backend server once.
	 * @return whether it responds in time with a status below 500; never completes
	 * exceptionally
	 */
	CompletableFuture<Boolean> isUp() {
		HttpCall call = HttpCall.of("GET", this.settings.backend(), this.settings.healthPath(), new byte[0]);
		return this.httpClient.call(call, TIMEOUT_MS)
			.handle((response, failure) -> failure == null && response.status() < MIN_SERVER_ERROR_STATUS);
	}

	private void probe(ControlThread thread) {
		isUp().thenAccept((up) -> thread.run(() -> {
			updateReachable(up);
			thread.after(PROBE_INTERVAL_MS, () -> probe(thread));
		}));
	}

	private void updateReachable(boolean up) {
		this.gate.setReachable(up);
		if (up != this.reachable) {
			this.reachable = up;
			LOGGER.info("Backend server {} is {}", this.settings.server(), up ? "up" : "down");
			this.onChange.run();
		}
	}

}
