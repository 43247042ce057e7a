package io.anvilusher.logic.routing;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import io.anvilusher.model.fleet.ServerLoad;

/**
 * Selects the backend server for an attempt.
 */
@FunctionalInterface
public interface ServerPicker {

	/**
	 * Selects a server with a free slot.
	 * @param servers servers that the attempt may be sent to
	 * @param prefixHash hash of the first part of the prompt, so that prompts with the
	 * same prefix can be sent to the server that has it in its KV cache; empty for
	 * requests without a prompt prefix
	 * @return the server, or empty if none has a free slot
	 */
	Optional<ServerLoad> pick(List<ServerLoad> servers, OptionalLong prefixHash);

}
