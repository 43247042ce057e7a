package io.anvilusher.model.config;

/**
 * The kinds of services.
 */
public enum ServiceKind {

	/** A service of model engines, which is called through the chat completions API. */
	MODEL,

	/** Any other HTTP service. Its requests are selected by its routes. */
	PLAIN

}
