package io.anvilusher.logic.routing;

import io.anvilusher.model.fleet.ServerLoad;

/**
 * Estimates the current load of a server from its newest report, which is out of date,
 * and the requests that this entry has sent to the server since.
 */
public final class LoadEstimate {

	private LoadEstimate() {
	}

	/**
	 * Estimates the number of requests that a server runs.
	 * @param server the server
	 * @return requests of other entries at the time of the newest report plus requests of
	 * this entry now
	 */
	public static int running(ServerLoad server) {
		int others = Math.max(0, server.reportedRunning() - server.ownOutstandingAtReport());
		return others + server.ownOutstanding();
	}

	/**
	 * Returns whether a server can start another request.
	 * @param server the server
	 * @return whether a slot is free according to the estimate
	 */
	public static boolean hasFreeSlot(ServerLoad server) {
		return running(server) < server.slots();
	}

	/**
	 * Estimates the share of the slots of a server that are in use.
	 * @param server the server
	 * @return the share; 1 if all slots are in use, more if the server is overloaded
	 */
	public static double utilization(ServerLoad server) {
		return (double) running(server) / Math.max(1, server.slots());
	}

}
