package io.anvilusher.gateway.suspect;

import io.anvilusher.adapters.metrics.Meters;
import io.anvilusher.gateway.control.EngineControlClient;
import io.anvilusher.model.fleet.RegisteredServer;

/**
 * Observes which requests were running when a server crashed. All methods run on the
 * traffic thread.
 */
public final class SuspectGuard {

	private final CrashDetector detector;

	/**
	 * Creates a guard.
	 * @param client asks servers whether they respond
	 * @param meters the metrics of this process
	 */
	public SuspectGuard(EngineControlClient client, Meters meters) {
		this.detector = new CrashDetector(client, meters, (server, subjects) -> {
		});
	}

	/**
	 * Records that the connection of a request to a server was lost before the request
	 * had a result.
	 * @param server the server
	 * @param subjects subjects of the request
	 */
	public void onConnectionLost(RegisteredServer server, RequestSubjects subjects) {
		this.detector.onConnectionLost(server, subjects);
	}

}
