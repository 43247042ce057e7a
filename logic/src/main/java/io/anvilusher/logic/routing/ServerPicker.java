package io.anvilusher.logic.routing;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import io.anvilusher.model.fleet.ServerLoad;

/**
 * Picks the backend server for an attempt.
 */
@FunctionalInterface
public interface ServerPicker {

	/**
	 * Picks a server.
	 * @param servers servers that may take the attempt
	 * @param prefixHash hash of the prompt's beginning, by which attempts with the same
	 * beginning meet the same cache; empty where there is none
	 * @return the server, or empty if all are full
	 */
	Optional<ServerLoad> pick(List<ServerLoad> servers, OptionalLong prefixHash);

}
