package io.anvilusher.model.request;

import java.util.Locale;

/**
 * Why a request ended without a whole answer. The name in lower case is the error code of
 * the API and the label of the refusal counter.
 */
public enum RefusalReason {

	/** The request's head could be read in two ways. */
	AMBIGUOUS_HEAD(400, true),

	/** The body is not what the route takes. */
	MALFORMED_BODY(400, true),

	/** The key appears outside of its header. */
	KEY_OUTSIDE_HEADER(400, true),

	/** A call that needs an idempotency key has a malformed one. */
	MALFORMED_IDEMPOTENCY_KEY(400, true),

	/** No key came with the request. */
	KEY_MISSING(401, true),

	/** The key is unknown or withdrawn. */
	KEY_UNKNOWN(401, true),

	/** The key was withdrawn while its request ran. */
	KEY_WITHDRAWN(401, false),

	/** The workspace may not use the service. */
	SERVICE_FORBIDDEN(403, true),

	/** No service has such a route. */
	ROUTE_UNKNOWN(404, true),

	/** No service answers for the model. */
	MODEL_UNKNOWN(404, true),

	/** The caller was slow to send its request. */
	CALLER_TOO_SLOW(408, true),

	/** The idempotency key was used for another request. */
	IDEMPOTENCY_KEY_REUSED(422, true),

	/** The call with this idempotency key is running. */
	CALL_IN_PROGRESS(409, false),

	/** The call with this idempotency key may have run, and its answer is lost. */
	CALL_OUTCOME_LOST(409, false),

	/** The call with this idempotency key ran; its answer was too large to keep. */
	CALL_ALREADY_ANSWERED(409, false),

	/** The body is larger than allowed. */
	BODY_TOO_LARGE(413, true),

	/** The workspace holds as many requests as it may. */
	WORKSPACE_LIMIT(429, true),

	/** The request crashed backend servers before. */
	REQUEST_CRASHES_SERVERS(422, false),

	/** The request could not be started in time. */
	QUEUE_TIMEOUT(503, true),

	/** All backend servers of the service are full. */
	SERVICE_SATURATED(503, true),

	/** No backend server of the service takes work. */
	NO_SERVER(503, true),

	/** The entry is about to stop. */
	ENTRY_DRAINING(503, true),

	/** The entry has no configuration yet. */
	NO_CONFIGURATION(503, true),

	/** The entry cannot tell whether keys are still valid. */
	KEYS_STALE(503, true),

	/** The log takes no claim for a call that may not be repeated. */
	CLAIM_UNAVAILABLE(503, true),

	/** The backend server or the way to it was lost before the whole answer came. */
	SERVER_LOST(502, false),

	/** The answer was not whole. */
	ANSWER_CUT(502, false),

	/** The answer did not end in time. */
	DEADLINE_EXCEEDED(504, false);

	private final int httpStatus;

	private final boolean notRun;

	RefusalReason(int httpStatus, boolean notRun) {
		this.httpStatus = httpStatus;
		this.notRun = notRun;
	}

	/**
	 * Returns the HTTP status of the refusal.
	 * @return the status
	 */
	public int httpStatus() {
		return this.httpStatus;
	}

	/**
	 * Tells whether a refusal for this reason says that the request was not run.
	 * @return whether it does; otherwise the outcome is unknown
	 */
	public boolean notRun() {
		return this.notRun;
	}

	/**
	 * Returns the error code.
	 * @return the name in lower case
	 */
	public String code() {
		return name().toLowerCase(Locale.ROOT);
	}

}
