package io.anvilusher.gateway.request;

/**
 * What must hold after each step of a request's life.
 */
enum LifeRule {

	/** No two sends of a request that is not idempotent may have run. */
	RUNS_ONCE,

	/** No send of a request that was refused as not run may have run. */
	REFUSED_NOT_RUN,

	/** Nothing of a request leaves after it was refused as not run. */
	NOTHING_SENT_AFTER_REFUSAL,

	/**
	 * {@link #RUNS_ONCE}, if an engine that does not answer a prefill as one may have run
	 * the request.
	 */
	RUNS_ONCE_STRICT_PREFILL,

	/**
	 * {@link #REFUSED_NOT_RUN}, if an engine that does not answer a prefill as one may
	 * have run the request.
	 */
	REFUSED_NOT_RUN_STRICT_PREFILL

}
