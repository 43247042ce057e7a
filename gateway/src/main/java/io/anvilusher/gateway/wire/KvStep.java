package io.anvilusher.gateway.wire;

/**
 * What a request that is split between two engines asks of one of them.
 */
public sealed interface KvStep {

	/** The whole request is run by one engine. */
	record None() implements KvStep {

	}

	/** The engine reads the prompt and keeps its KV cache for another engine. */
	record Prefill() implements KvStep {

	}

	/**
	 * The engine fetches the KV cache of the prompt and generates.
	 *
	 * @param source address of the engine, an IP number and a port that read the prompt
	 * @param handle name that the engine gave the KV cache
	 */
	record Fetch(String source, String handle) implements KvStep {

	}

}
