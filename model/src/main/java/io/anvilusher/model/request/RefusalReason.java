package io.anvilusher.model.request;

import java.util.Locale;

/**
 * The reason why a request ended without a complete response. The name in lower case is
 * the error code of the API and the label of the refusal counter.
 */
public enum RefusalReason {

	/**
	 * The head of the request is ambiguous: two parsers could understand it differently.
	 */
	AMBIGUOUS_HEAD(400, true),

	/** The body does not have the form that the route requires. */
	MALFORMED_BODY(400, true),

	/**
	 * The workspace key appears in the path, the body or a header that is not meant for
	 * it.
	 */
	KEY_OUTSIDE_HEADER(400, true),

	/** The request has a malformed idempotency key or several of them. */
	MALFORMED_IDEMPOTENCY_KEY(400, true),

	/** The request has no workspace key. */
	KEY_MISSING(401, true),

	/** The workspace key is unknown or withdrawn. */
	KEY_UNKNOWN(401, true),

	/** The workspace key was withdrawn while the request was running. */
	KEY_WITHDRAWN(401, false),

	/** The workspace may not use the service. */
	SERVICE_FORBIDDEN(403, true),

	/** No service has a route for the method and path. */
	ROUTE_UNKNOWN(404, true),

	/** No service serves the model. */
	MODEL_UNKNOWN(404, true),

	/** The caller did not send the complete request in time. */
	CALLER_TOO_SLOW(408, true),

	/** The idempotency key was used for another request before. */
	IDEMPOTENCY_KEY_REUSED(422, true),

	/** A request with the same idempotency key is still running. */
	CALL_IN_PROGRESS(409, false),

	/** A request with the same idempotency key may have run, and its response is lost. */
	CALL_OUTCOME_LOST(409, false),

	/**
	 * A request with the same idempotency key ran; its response was too large to keep.
	 */
	CALL_ALREADY_ANSWERED(409, false),

	/** The body is larger than allowed. */
	BODY_TOO_LARGE(413, true),

	/** The workspace has reached its limit of concurrent requests. */
	WORKSPACE_LIMIT(429, true),

	/** The workspace has used up its allowance of the sliding window. */
	ALLOWANCE_EXCEEDED(429, true),

	/**
	 * The request was running when several backend servers crashed and is not run again.
	 */
	REQUEST_CRASHES_SERVERS(422, false),

	/**
	 * The request or a part of its prompt was running when several backend servers
	 * crashed, so it is not sent to one.
	 */
	SUSPECTED_OF_CRASHES(503, true),

	/**
	 * The caller takes up a stream, and it is not known which software version began it.
	 */
	STREAM_ORIGIN_UNKNOWN(503, true),

	/**
	 * The caller takes up a stream, and the store does not answer which software version
	 * can have begun it or which servers run that version.
	 */
	STREAM_ORIGIN_UNAVAILABLE(503, true),

	/**
	 * The caller takes up a stream, and no server runs the software version that began
	 * it.
	 */
	STREAM_VERSION_GONE(503, true),

	/** The request could not be started in time. */
	QUEUE_TIMEOUT(503, true),

	/** All backend servers of the service are full. */
	SERVICE_SATURATED(503, true),

	/** No backend server of the service accepts new requests. */
	NO_SERVER(503, true),

	/** The entry is shutting down and accepts no new requests. */
	ENTRY_DRAINING(503, true),

	/** The gateway has less processor time than requests. */
	GATEWAY_OVERLOADED(503, true),

	/** An unexpected exception of the gateway kept it from sending the request. */
	GATEWAY_FAILED(503, true),

	/** The gateway has no memory left for the body of the request. */
	MEMORY_EXHAUSTED(503, true),

	/** The entry has no configuration yet. */
	NO_CONFIGURATION(503, true),

	/**
	 * The entry's copy of the keys is too old to determine whether keys are still valid.
	 */
	KEYS_STALE(503, true),

	/**
	 * The log accepts no records, so a request that must not run twice gets no
	 * idempotency claim.
	 */
	CLAIM_UNAVAILABLE(503, true),

	/**
	 * The backend server or the connection to it was lost before the complete response
	 * arrived.
	 */
	SERVER_LOST(502, false),

	/** The response was incomplete. */
	ANSWER_CUT(502, false),

	/** The response did not end in time. */
	DEADLINE_EXCEEDED(504, false);

	private final int httpStatus;

	private final boolean notRun;

	RefusalReason(int httpStatus, boolean notRun) {
		this.httpStatus = httpStatus;
		this.notRun = notRun;
	}

	/**
	 * Returns the HTTP status that the caller receives.
	 * @return the status code
	 */
	public int httpStatus() {
		return this.httpStatus;
	}

	/**
	 * Returns whether this reason implies that the request did not run.
	 * @return whether the request did not run; if false, it may have run
	 */
	public boolean notRun() {
		return this.notRun;
	}

	/**
	 * Returns the error code of the API.
	 * @return the name in lower case
	 */
	public String code() {
		return name().toLowerCase(Locale.ROOT);
	}

}
