package io.anvilusher.logic.placement;

/**
 * Where a request goes.
 */
public sealed interface Placement {

	/**
	 * The request is sent to one server.
	 *
	 * @param server the server
	 * @param uncachedTokens prompt tokens that it has to read; 0 without a prompt
	 */
	record Whole(ServerTrack server, int uncachedTokens) implements Placement {

	}

	/**
	 * One engine reads the prompt, another one fetches its KV cache and generates.
	 *
	 * @param prefill engine that reads the prompt
	 * @param decode engine that generates
	 * @param uncachedTokens prompt tokens that have to be read
	 */
	record Split(ServerTrack prefill, ServerTrack decode, int uncachedTokens) implements Placement {

	}

	/** All servers have as much work as they can do in time. */
	record Full() implements Placement {

	}

	/** There is no server. */
	record Nowhere() implements Placement {

	}

}
