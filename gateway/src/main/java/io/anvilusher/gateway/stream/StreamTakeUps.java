package io.anvilusher.gateway.stream;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.anvilusher.adapters.metrics.Meters;
import io.anvilusher.adapters.process.MonotonicClock;
import io.anvilusher.gateway.fleet.ServerCatchUp;
import io.anvilusher.gateway.fleet.ServerRegistry;
import io.anvilusher.logic.fleet.VersionHistory;
import io.anvilusher.model.request.RefusalReason;

/**
 * Decides where streams may go on that callers take up. A stream whose origin is not
 * known goes on only if no other software version can have begun it. To know that, the
 * registrations are read after the take-up has arrived: this gateway may have been cut
 * off or suspended while servers of another version joined. Used on the traffic thread
 * only.
 */
public final class StreamTakeUps {

	private static final Logger LOGGER = LoggerFactory.getLogger(StreamTakeUps.class);

	private final StreamOrigins origins;

	private final VersionHistory versions;

	private final ServerRegistry serverRegistry;

	private final ServerCatchUp servers;

	private final MonotonicClock clock;

	private final Meters meters;

	/**
	 * Creates an instance.
	 * @param origins where streams began
	 * @param versions software versions by service and time
	 * @param serverRegistry the servers
	 * @param servers brings the servers and their versions up to date
	 * @param clock the monotonic clock
	 * @param meters metrics
	 */
	public StreamTakeUps(StreamOrigins origins, VersionHistory versions, ServerRegistry serverRegistry,
			ServerCatchUp servers, MonotonicClock clock, Meters meters) {
		this.origins = origins;
		this.versions = versions;
		this.serverRegistry = serverRegistry;
		this.servers = servers;
		this.clock = clock;
		this.meters = meters;
	}

	/**
	 * Decides about a request that takes up a stream.
	 * @param requestId identifier of the request, for log lines
	 * @param service name of the service that the request is routed to
	 * @param beganAs identifier of the request that brought the first event; empty if the
	 * caller does not name it
	 * @return the decision; completes on the traffic thread, possibly within this call
	 */
	public CompletableFuture<StreamTakeUp> decide(String requestId, String service, Optional<String> beganAs) {
		Subject subject = new Subject(requestId, service, beganAs);
		if (beganAs.isEmpty()) {
			return bindToOnly(subject, "not_named", RefusalReason.STREAM_ORIGIN_UNKNOWN);
		}
		return this.origins.find(beganAs.get()).thenCompose((search) -> decide(subject, search));
	}

	private CompletableFuture<StreamTakeUp> decide(Subject subject, OriginSearch search) {
		if (search instanceof OriginSearch.Found found) {
			return bind(subject, found.origin());
		}
		return (search instanceof OriginSearch.NotRecorded)
				? bindToOnly(subject, "not_recorded", RefusalReason.STREAM_ORIGIN_UNKNOWN)
				: bindToOnly(subject, "unavailable", RefusalReason.STREAM_ORIGIN_UNAVAILABLE);
	}

	private CompletableFuture<StreamTakeUp> bind(Subject subject, StreamOrigin origin) {
		if (!origin.service().equals(subject.service())) {
			return CompletableFuture
				.completedFuture(decided(subject, "found", "not_needed", refused(RefusalReason.STREAM_VERSION_GONE)));
		}
		if (isServed(origin)) {
			return CompletableFuture
				.completedFuture(decided(subject, "found", "not_needed", bound(origin.softwareVersion())));
		}
		return this.servers.catchUp().thenApply((upToDate) -> {
			RefusalReason reason = upToDate ? RefusalReason.STREAM_VERSION_GONE
					: RefusalReason.STREAM_ORIGIN_UNAVAILABLE;
			return decided(subject, "found", label(upToDate),
					isServed(origin) ? bound(origin.softwareVersion()) : refused(reason));
		});
	}

	private boolean isServed(StreamOrigin origin) {
		return this.serverRegistry.isRegistered(origin.service(), origin.softwareVersion());
	}

	private CompletableFuture<StreamTakeUp> bindToOnly(Subject subject, String search, RefusalReason reasonIfSeveral) {
		return this.servers.catchUp().thenApply((upToDate) -> {
			if (!upToDate) {
				return decided(subject, search, label(false), refused(RefusalReason.STREAM_ORIGIN_UNAVAILABLE));
			}
			Optional<String> only = subject.beganAs().isPresent()
					? this.versions.onlyVersion(subject.service(), this.clock.nowMs())
					: this.versions.onlyVersionSinceStart(subject.service(), this.clock.nowMs());
			return decided(subject, search, label(true),
					only.map(StreamTakeUps::bound).orElseGet(() -> refused(reasonIfSeveral)));
		});
	}

	private static String label(boolean upToDate) {
		return upToDate ? "up_to_date" : "unavailable";
	}

	private static StreamTakeUp bound(String version) {
		return new StreamTakeUp.Bound(new StreamBinding.SoftwareVersion(version));
	}

	private static StreamTakeUp refused(RefusalReason reason) {
		return new StreamTakeUp.Refused(reason);
	}

	private StreamTakeUp decided(Subject subject, String search, String servers, StreamTakeUp decision) {
		String outcome = (decision instanceof StreamTakeUp.Refused refused) ? refused.reason().code() : "bound";
		this.meters.counter("anvilusher.stream.take.ups", "search", search, "servers", servers, "outcome", outcome)
			.increment();
		LOGGER.atInfo()
			.addKeyValue("request_id", subject.requestId())
			.addKeyValue("service", subject.service())
			.addKeyValue("began_as", subject.beganAs().orElse(""))
			.addKeyValue("search", search)
			.addKeyValue("servers", servers)
			.addKeyValue("outcome", outcome)
			.addKeyValue("software_version", (decision instanceof StreamTakeUp.Bound bound) ? bound.label() : "")
			.log("Stream is taken up");
		return decision;
	}

	/**
	 * What a decision is about.
	 *
	 * @param requestId identifier of the request
	 * @param service name of the service that the request is routed to
	 * @param beganAs identifier of the request that brought the first event
	 */
	private record Subject(String requestId, String service, Optional<String> beganAs) {

	}

}
