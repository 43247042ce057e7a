package io.anvilusher.logic.placement;

/**
 * Result of placing a request on the servers of its service.
 */
public sealed interface Placement {

	/**
	 * One server runs the complete request.
	 *
	 * @param server the server
	 * @param uncachedTokens prompt tokens that the server has to prefill because they are
	 * not in its KV cache; 0 for a request without a prompt
	 */
	record SingleServer(TrackedServer server, int uncachedTokens) implements Placement {

	}

	/**
	 * One engine prefills the prompt, another one fetches the resulting KV cache and
	 * decodes.
	 *
	 * @param prefill engine that prefills the prompt
	 * @param decode engine that generates the output tokens
	 * @param uncachedTokens prompt tokens that are not in the KV cache of the prefill
	 * engine
	 */
	record Split(TrackedServer prefill, TrackedServer decode, int uncachedTokens) implements Placement {

	}

	/** All servers have as much work as they can finish within the target latency. */
	record Full() implements Placement {

	}

	/** No server is left that the request could be sent to. */
	record NoServer() implements Placement {

	}

}
