package io.anvilusher.model.request;

/**
 * The outcome of one attempt of a request.
 */
public sealed interface AttemptOutcome {

	/**
	 * The complete response arrived.
	 */
	record Completed() implements AttemptOutcome {

	}

	/**
	 * The backend server cannot have started the request and never will.
	 *
	 * @param reason why the request was not started
	 */
	record NotRun(AttemptFailure reason) implements AttemptOutcome {

	}

	/**
	 * The backend server may have started the request.
	 *
	 * @param reason why the response is missing or incomplete
	 */
	record Unknown(AttemptFailure reason) implements AttemptOutcome {

	}

}
