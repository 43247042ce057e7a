package io.anvilusher.model.fleet;

/**
 * The load of a backend server as an entry knows it when it selects a server for a
 * request.
 *
 * @param server name of the server
 * @param service name of its service
 * @param dataCentre name of its data centre
 * @param slots number of requests that it runs at once
 * @param reportedRunning number of requests that were running at its newest report
 * @param reportAgeMs age of that report, in ms
 * @param ownOutstanding number of requests that this entry has sent to it and that have
 * not ended
 * @param ownOutstandingAtReport value of {@code ownOutstanding} when the newest report
 * arrived, which is the number of these requests that the report already counts
 */
public record ServerLoad(String server, String service, String dataCentre, int slots, int reportedRunning,
		long reportAgeMs, int ownOutstanding, int ownOutstandingAtReport) {

}
