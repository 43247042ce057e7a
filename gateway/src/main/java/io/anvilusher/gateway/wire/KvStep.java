package io.anvilusher.gateway.wire;

import java.util.Locale;

/**
 * The step that an engine performs for a request. A request may be split between two
 * engines: one runs the prefill, the other one fetches the KV cache and decodes.
 */
public sealed interface KvStep {

	/**
	 * Returns the name of the step for log lines.
	 * @return the name in lower case
	 */
	default String label() {
		return getClass().getSimpleName().toLowerCase(Locale.ROOT);
	}

	/** The request is not split; one server runs it completely. */
	record None() implements KvStep {

	}

	/** The engine runs the prefill and keeps the KV cache for another engine. */
	record Prefill() implements KvStep {

	}

	/**
	 * The engine fetches the KV cache of the prompt and decodes.
	 *
	 * @param source address (IP and port) of the engine that ran the prefill
	 * @param handle identifier that this engine assigned to the KV cache
	 */
	record Fetch(String source, String handle) implements KvStep {

	}

}
