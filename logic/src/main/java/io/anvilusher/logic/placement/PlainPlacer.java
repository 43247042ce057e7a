package io.anvilusher.logic.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Set;

/**
 * Places requests on the servers of a plain service, which is not a model engine. Selects
 * the server with the lowest expected response time, based on response times, failure
 * rates and queue lengths that this gateway has seen. Health checks do not suffice: a
 * server may crash, respond slowly or fail part of its requests while its check passes,
 * and queues fill up during bursts.
 */
public final class PlainPlacer {

	/** Maximum of requests in progress or queued at a server, per slot of the server. */
	static final double MAX_LOAD_PER_SLOT = 2;

	/**
	 * Load reports older than this are ignored. The age is several times the response
	 * time of a server.
	 */
	static final long MAX_REPORT_AGE_MS = 200;

	/** Response time assumed for a server before its first response. */
	static final double DEFAULT_RESPONSE_MS = 20;

	/**
	 * Added to the expected time of a server in another data centre: the round-trip time
	 * between data centres.
	 */
	static final double REMOTE_PENALTY_MS = 4;

	/**
	 * Weight of a failure rate above that of the best server. A server that fails all
	 * requests counts as slower by ten times its expected time: 0.2 s at the default
	 * response time.
	 */
	static final double FAILURE_WEIGHT = 10;

	private final String dataCentre;

	/**
	 * Creates a placer that prefers servers of one data centre.
	 * @param dataCentre data centre of the gateway
	 */
	public PlainPlacer(String dataCentre) {
		this.dataCentre = dataCentre;
	}

	/**
	 * Selects the server with the lowest expected response time. Unhealthy servers are
	 * used only if there is no healthy one.
	 * @param servers servers of the service that accept requests
	 * @param avoided ids of servers that earlier attempts of this request were sent to
	 * @param nowMs current time of the monotonic clock
	 * @return one server, {@link Placement.Full} if all queues are full, or
	 * {@link Placement.NoServer} if no server is left to try
	 */
	public Placement place(List<TrackedServer> servers, Set<String> avoided, long nowMs) {
		List<TrackedServer> untried = servers.stream()
			.filter((server) -> !avoided.contains(server.server().id()))
			.toList();
		if (untried.isEmpty()) {
			return new Placement.NoServer();
		}
		List<TrackedServer> healthy = untried.stream().filter((server) -> !server.health().isUnhealthy(nowMs)).toList();
		List<TrackedServer> usable = healthy.isEmpty() ? untried : healthy;
		double lowestFailureRate = usable.stream()
			.mapToDouble((server) -> server.health().failureRate())
			.min()
			.orElse(0);
		return usable.stream()
			.filter((server) -> load(server, nowMs) < MAX_LOAD_PER_SLOT * server.server().slots())
			.min(Comparator.comparingDouble((server) -> expectedMs(server, lowestFailureRate, nowMs)))
			.<Placement>map((server) -> new Placement.SingleServer(server, 0))
			.orElseGet(Placement.Full::new);
	}

	private double expectedMs(TrackedServer server, double lowestFailureRate, long nowMs) {
		double responseMs = (server.health().meanResponseMs() > 0) ? server.health().meanResponseMs()
				: DEFAULT_RESPONSE_MS;
		double excessFailureRate = server.health().failureRate() - lowestFailureRate;
		double queueMs = responseMs * load(server, nowMs) / server.server().slots();
		double remoteMs = server.server().dataCentre().equals(this.dataCentre) ? 0 : REMOTE_PENALTY_MS;
		return (responseMs + queueMs) * (1 + FAILURE_WEIGHT * excessFailureRate) + remoteMs;
	}

	private static double load(TrackedServer server, long nowMs) {
		return server.inFlight() + server.waiting(nowMs, MAX_REPORT_AGE_MS);
	}

}
