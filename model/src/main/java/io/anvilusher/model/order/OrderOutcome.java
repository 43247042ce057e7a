package io.anvilusher.model.order;

/**
 * How an engine order ended.
 */
public enum OrderOutcome {

	/** The engine has changed as ordered. */
	DONE,

	/** The engine refused the order and is unchanged. */
	REFUSED,

	/** The engine failed during the change. */
	FAILED

}
