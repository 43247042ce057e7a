package io.anvilusher.model.routing;

/**
 * The unit in which the use of a workspace is counted.
 */
public enum AllowanceUnit {

	/** Tokens of the prompt and of the expected response. */
	TOKENS,

	/** Requests; each has a cost of 1. */
	REQUESTS

}
