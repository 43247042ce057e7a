package io.anvilusher.logic.placement;

import java.util.List;
import java.util.OptionalLong;
import java.util.stream.Stream;

/**
 * Decides which servers of a service take new requests, by their announcements.
 */
public final class AcceptingServers {

	private AcceptingServers() {
	}

	/**
	 * Selects the servers that take new requests.
	 * @param servers servers of a service that are registered as ready
	 * @param nowMs current time of the monotonic clock
	 * @return the servers that neither leave nor pause
	 */
	public static List<TrackedServer> select(List<TrackedServer> servers, long nowMs) {
		return servers.stream().filter((server) -> server.availability().isAccepting(nowMs)).toList();
	}

	/**
	 * Returns whether a request may find no server only because servers pause.
	 * @param servers servers of a service that are registered as ready
	 * @param nowMs current time of the monotonic clock
	 * @return whether a server that can run complete requests pauses
	 */
	public static boolean isAnyPaused(List<TrackedServer> servers, long nowMs) {
		return staying(servers).anyMatch((server) -> server.availability().pauseLeftMs(nowMs) > 0);
	}

	/**
	 * Returns when the first server takes requests again if all of them pause.
	 * @param servers servers of a service that are registered as ready
	 * @param nowMs current time of the monotonic clock
	 * @return the shortest time left, in ms; empty if a server that can run complete
	 * requests takes them now, or if there is none
	 */
	public static OptionalLong firstAcceptsInMs(List<TrackedServer> servers, long nowMs) {
		OptionalLong shortestMs = staying(servers).mapToLong((server) -> server.availability().pauseLeftMs(nowMs))
			.min();
		return (shortestMs.orElse(0) > 0) ? shortestMs : OptionalLong.empty();
	}

	// Engines with the prefill role are left out: they do not run complete requests.
	private static Stream<TrackedServer> staying(List<TrackedServer> servers) {
		return servers.stream().filter((server) -> !server.availability().isLeaving() && !server.isPrefill());
	}

}
