package io.anvilusher.gateway.stream;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.anvilusher.adapters.process.MonotonicClock;
import io.anvilusher.gateway.fleet.ServerRegistry;
import io.anvilusher.logic.fleet.VersionHistory;
import io.anvilusher.model.request.RefusalReason;

/**
 * Decides where streams may go on that callers take up. A stream whose origin is not
 * known goes on only if no other software version can have begun it. Used on the traffic
 * thread only.
 */
public final class StreamTakeUps {

	private final StreamOrigins origins;

	private final VersionHistory versions;

	private final ServerRegistry serverRegistry;

	private final MonotonicClock clock;

	/**
	 * Creates an instance.
	 * @param origins where streams began
	 * @param versions software versions by service and time
	 * @param serverRegistry the servers
	 * @param clock the monotonic clock
	 */
	public StreamTakeUps(StreamOrigins origins, VersionHistory versions, ServerRegistry serverRegistry,
			MonotonicClock clock) {
		this.origins = origins;
		this.versions = versions;
		this.serverRegistry = serverRegistry;
		this.clock = clock;
	}

	/**
	 * Decides about a request that takes up a stream.
	 * @param service name of the service that the request is routed to
	 * @param beganAs identifier of the request that brought the first event; empty if the
	 * caller does not name it
	 * @return the decision; completes on the traffic thread, possibly within this call
	 */
	public CompletableFuture<StreamTakeUp> decide(String service, Optional<String> beganAs) {
		if (beganAs.isEmpty()) {
			return CompletableFuture.completedFuture(bindToOnly(this.versions.onlyVersionSinceStart(service)));
		}
		return this.origins.find(beganAs.get())
			.thenApply((found) -> found.map((origin) -> bind(service, origin))
				.orElseGet(() -> bindToOnly(this.versions.onlyVersion(service, this.clock.nowMs()))));
	}

	private StreamTakeUp bind(String service, StreamOrigin origin) {
		boolean served = origin.service().equals(service)
				&& this.serverRegistry.isRegistered(service, origin.softwareVersion());
		return served ? bindTo(origin.softwareVersion()) : new StreamTakeUp.Refused(RefusalReason.STREAM_VERSION_GONE);
	}

	private static StreamTakeUp bindToOnly(Optional<String> version) {
		return version.map(StreamTakeUps::bindTo)
			.orElseGet(() -> new StreamTakeUp.Refused(RefusalReason.STREAM_ORIGIN_UNKNOWN));
	}

	private static StreamTakeUp bindTo(String version) {
		return new StreamTakeUp.Bound(new StreamBinding.SoftwareVersion(version));
	}

}
