package io.anvilusher.model.request;

import java.util.List;

/**
 * The outcome of a claimed call, with the answer when it is known and small enough to
 * keep.
 *
 * @param outcome how the call ended
 * @param status HTTP status of the answer; 0 without an answer
 * @param headers headers of the answer
 * @param body body of the answer, in Base64
 * @param bodyKept whether the body was small enough to keep
 */
public record ClaimResult(ClaimOutcome outcome, int status, List<AnswerHeader> headers, String body, boolean bodyKept) {

	public ClaimResult {
		headers = List.copyOf(headers);
	}

	/**
	 * Creates a result without an answer.
	 * @param outcome how the call ended
	 * @return the result
	 */
	public static ClaimResult withoutAnswer(ClaimOutcome outcome) {
		return new ClaimResult(outcome, 0, List.of(), "", false);
	}

}
