package io.anvilusher.model.config;

/**
 * Kinds of services.
 */
public enum ServiceKind {

	/** Model engines that answer chat completions. */
	MODEL,

	/** Plain services with routes of their own. */
	PLAIN

}
