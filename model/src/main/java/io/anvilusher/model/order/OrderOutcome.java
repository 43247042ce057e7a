package io.anvilusher.model.order;

/**
 * How an engine order ended.
 */
public enum OrderOutcome {

	/** The engine has become what was ordered. */
	DONE,

	/** The engine refused the order and is what it was. */
	REFUSED,

	/** The engine failed during the change. */
	FAILED

}
