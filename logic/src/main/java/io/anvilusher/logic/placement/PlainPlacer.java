package io.anvilusher.logic.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Set;

/**
 * Places requests on the servers of a plain service. Load pattern: light load with
 * servers that crash, answer slowly or fail part of their requests while their health
 * check is good; full queues during bursts.
 */
public final class PlainPlacer {

	/** Requests that may wait at a server, as a multiple of its slots. */
	static final double MAX_QUEUE_SHARE = 2;

	/** Age up to which a load report counts, in ms. Source: a few answer times. */
	static final long REPORT_AGE_MS = 200;

	/** Answer time assumed before the first answer, in ms. */
	static final double ASSUMED_ANSWER_MS = 20;

	/**
	 * Extra time of a server in another data centre, in ms. Source: measured round trips.
	 */
	static final double REMOTE_MS = 4;

	/**
	 * Weight of failures beyond those of the best server. Source: an answer time of 0.2
	 * s.
	 */
	static final double FAILURE_WEIGHT = 10;

	private final String dataCentre;

	/**
	 * Creates a placer.
	 * @param dataCentre data centre of the gateway
	 */
	public PlainPlacer(String dataCentre) {
		this.dataCentre = dataCentre;
	}

	/**
	 * Places a request.
	 * @param servers the servers of the service that may be used
	 * @param avoided servers that this request was sent to before
	 * @param nowMs the time
	 * @return the placement
	 */
	public Placement place(List<ServerTrack> servers, Set<String> avoided, long nowMs) {
		List<ServerTrack> fresh = servers.stream().filter((server) -> !avoided.contains(server.server().id())).toList();
		if (fresh.isEmpty()) {
			return new Placement.Nowhere();
		}
		List<ServerTrack> sound = fresh.stream().filter((server) -> !server.health().isDoubtful(nowMs)).toList();
		List<ServerTrack> usable = sound.isEmpty() ? fresh : sound;
		double leastFailing = usable.stream().mapToDouble((server) -> server.health().failureRate()).min().orElse(0);
		return usable.stream()
			.filter((server) -> load(server, nowMs) < MAX_QUEUE_SHARE * server.server().slots())
			.min(Comparator.comparingDouble((server) -> expectedMs(server, leastFailing, nowMs)))
			.<Placement>map((server) -> new Placement.Whole(server, 0))
			.orElseGet(Placement.Full::new);
	}

	private double expectedMs(ServerTrack server, double leastFailing, long nowMs) {
		double answerMs = (server.health().meanAnswerMs() > 0) ? server.health().meanAnswerMs() : ASSUMED_ANSWER_MS;
		double failing = server.health().failureRate() - leastFailing;
		double queueMs = answerMs * load(server, nowMs) / server.server().slots();
		double remoteMs = server.server().dataCentre().equals(this.dataCentre) ? 0 : REMOTE_MS;
		return (answerMs + queueMs) * (1 + FAILURE_WEIGHT * failing) + remoteMs;
	}

	private static double load(ServerTrack server, long nowMs) {
		return server.inFlight() + server.waiting(nowMs, REPORT_AGE_MS);
	}

}
