package io.anvilusher.logic.routing;

import io.anvilusher.model.fleet.ServerLoad;

/**
 * Estimates the load of a server from its lagging report and from what this entry has
 * sent it since.
 */
public final class LoadEstimate {

	private LoadEstimate() {
	}

	/**
	 * Estimates the number of calls that a server runs.
	 * @param server the server
	 * @return the calls of others at the newest report, and this entry's calls now
	 */
	public static int running(ServerLoad server) {
		int others = Math.max(0, server.reportedRunning() - server.ownAtReport());
		return others + server.ownOutstanding();
	}

	/**
	 * Tells whether a server can start another call.
	 * @param server the server
	 * @return whether a slot is free by the estimate
	 */
	public static boolean hasFreeSlot(ServerLoad server) {
		return running(server) < server.slots();
	}

	/**
	 * Returns the share of a server's slots in use.
	 * @param server the server
	 * @return the share; 1 when it is full
	 */
	public static double utilization(ServerLoad server) {
		return (double) running(server) / Math.max(1, server.slots());
	}

}
