package io.anvilusher.model.request;

/**
 * How one attempt at a request ended.
 */
public sealed interface AttemptOutcome {

	/**
	 * The whole answer arrived.
	 */
	record Answered() implements AttemptOutcome {

	}

	/**
	 * The backend server cannot have started the request and never will.
	 *
	 * @param reason why it was not started
	 */
	record NotRun(AttemptFailure reason) implements AttemptOutcome {

	}

	/**
	 * The backend server may have started the request.
	 *
	 * @param reason why the answer is not whole
	 */
	record Unknown(AttemptFailure reason) implements AttemptOutcome {

	}

}
