package io.anvilusher.model.fleet;

/**
 * A backend server as an entry sees it when it picks one.
 *
 * @param server its name
 * @param service its service
 * @param dataCentre its data centre
 * @param slots calls that it runs at once
 * @param reportedRunning calls that it ran at its newest report
 * @param reportAgeMs age of that report
 * @param ownOutstanding calls that this entry has sent to it and that have not ended
 * @param ownAtReport calls of this entry that its newest report already counts
 */
public record ServerLoad(String server, String service, String dataCentre, int slots, int reportedRunning,
		long reportAgeMs, int ownOutstanding, int ownAtReport) {

}
