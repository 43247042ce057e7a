package io.anvilusher.gateway.limit;

import java.util.List;
import java.util.OptionalDouble;
import java.util.OptionalLong;

import io.anvilusher.logic.placement.TrackedServer;
import io.anvilusher.model.fleet.RegisteredServer;

/**
 * Limits that servers name on the requests from all gateways together. A request may be
 * sent to a limited server only with a permit. Used on the traffic thread.
 */
public interface ServerLimits {

	/** Interval at which a request that waits is counted again as wanted, in ms. */
	long WANTED_INTERVAL_MS = 100;

	/**
	 * Records what a response says about the limit of its server.
	 * @param server the server
	 * @param limitPerS the limit in requests per second; empty if the response names none
	 * @param requestSentAtMs time at which the request was sent, by the monotonic clock
	 */
	void onResponse(RegisteredServer server, OptionalDouble limitPerS, long requestSentAtMs);

	/**
	 * Records a response with a limit that is not valid. It says nothing about the limit
	 * in force.
	 * @param server the server
	 */
	void onInvalid(RegisteredServer server);

	/**
	 * Returns whether a server has a limit.
	 * @param server the server
	 * @return whether requests to it need a permit
	 */
	boolean isLimited(TrackedServer server);

	/**
	 * Returns whether a request may be sent to a server now.
	 * @param server the server
	 * @return whether there is a permit or the server has no limit
	 */
	boolean hasPermit(TrackedServer server);

	/**
	 * Uses a permit for a request that is to be sent to a server.
	 * @param server the server
	 * @return whether there was a permit or the server has no limit
	 */
	boolean tryTake(TrackedServer server);

	/**
	 * Records that a request would have been sent to a server if there were a permit.
	 * Called again every {@link #WANTED_INTERVAL_MS} for a request that waits.
	 * @param server the server
	 */
	void onWanted(TrackedServer server);

	/**
	 * Returns whether a server may be polled for its state.
	 * @param server registration of the server
	 * @return false if the polls would take a large part of its limit
	 */
	boolean allowsPolls(RegisteredServer server);

	/**
	 * Counts a call that is sent to a server whether or not there is a permit.
	 * @param address address (IP and port) of the server
	 */
	void countCall(String address);

	/**
	 * Estimates when the first of some servers can take a request.
	 * @param servers the servers
	 * @return the time in ms; empty if one of them has no limit, or if there are none
	 */
	OptionalLong nextPermitInMs(List<TrackedServer> servers);

	/**
	 * Sets what is run when permits have arrived.
	 * @param listener places the requests that wait
	 */
	void onPermits(Runnable listener);

}
