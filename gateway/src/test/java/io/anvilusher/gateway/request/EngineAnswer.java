package io.anvilusher.gateway.request;

import java.util.stream.Stream;

/**
 * What an engine may answer to a request.
 */
enum EngineAnswer {

	/** The engine promises that it neither ran the request nor will run it. */
	NOT_RUN(503, true, true, 0),

	/** The address belongs to another server, which did not run the request. */
	MISDIRECTED(421, true, true, 0),

	/** A promise about another request. */
	NOT_RUN_OF_OTHER_ID(503, false, true, 0),

	/** A refusal without a promise. */
	BARE_503(503, true, false, 0),

	ERROR(500, true, false, 0),

	DEADLINE(504, true, false, 0),

	/** Handle of the KV cache that a prefill has computed. */
	HANDLE(200, true, false, 0),

	NO_HANDLE(200, true, false, 0),

	RESULT(200, true, false, 2);

	private final int status;

	private final boolean ownId;

	private final boolean notRun;

	private final int events;

	EngineAnswer(int status, boolean ownId, boolean notRun, int events) {
		this.status = status;
		this.ownId = ownId;
		this.notRun = notRun;
		this.events = events;
	}

	int status() {
		return this.status;
	}

	boolean ownId() {
		return this.ownId;
	}

	boolean claimsNotRun() {
		return this.notRun;
	}

	/**
	 * Returns the number of parts of the body before its end.
	 * @return number of parts
	 */
	int events() {
		return this.events;
	}

	/**
	 * Returns whether the answer proves that its request did not run.
	 * @return whether it is a promise about this request
	 */
	boolean provesNotRun() {
		return this.notRun && this.ownId;
	}

	/**
	 * Returns whether the answer shows that the engine treated the request as a prefill,
	 * or did not treat it at all.
	 * @return false if the engine may have taken it for a complete request
	 */
	boolean fitsPrefill() {
		return this == HANDLE || provesNotRun();
	}

	/**
	 * Returns the answers that an engine may give.
	 * @param prefill whether the request has the prefill step
	 * @return the answers
	 */
	static Stream<EngineAnswer> to(boolean prefill) {
		return prefill
				? Stream.of(NOT_RUN, MISDIRECTED, NOT_RUN_OF_OTHER_ID, BARE_503, ERROR, DEADLINE, HANDLE, NO_HANDLE)
				: Stream.of(NOT_RUN, MISDIRECTED, NOT_RUN_OF_OTHER_ID, BARE_503, ERROR, DEADLINE, RESULT);
	}

}
