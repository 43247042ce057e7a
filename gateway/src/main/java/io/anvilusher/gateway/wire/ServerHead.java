package io.anvilusher.gateway.wire;

import java.util.List;
import java.util.Optional;

import io.anvilusher.model.request.AnswerHeader;

/**
 * What the head of a server's answer says.
 *
 * @param status HTTP status
 * @param attemptId the attempt that the answer belongs to; empty if it does not say
 * @param signed whether the server vouches for the answer
 * @param notRun whether the server says that it did not run the request and will not
 * @param encoded whether the body was encoded on the way
 * @param load requests at the server; empty if it does not say
 * @param passedOn headers for the caller
 */
public record ServerHead(int status, String attemptId, boolean signed, boolean notRun, boolean encoded,
		Optional<LoadReport> load, List<AnswerHeader> passedOn) {

	public ServerHead {
		passedOn = List.copyOf(passedOn);
	}

	/**
	 * Tells whether the status is one of success.
	 * @return whether it is from 200 to 299
	 */
	public boolean isSuccess() {
		return this.status >= 200 && this.status < 300;
	}

	/**
	 * Requests at a server.
	 *
	 * @param running requests that run
	 * @param waiting requests that wait
	 */
	public record LoadReport(int running, int waiting) {

	}

}
