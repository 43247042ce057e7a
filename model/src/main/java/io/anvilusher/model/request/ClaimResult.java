package io.anvilusher.model.request;

import java.util.List;

/**
 * The outcome of a request with an idempotency claim, with the response if it is known.
 * The body is kept only if it is small enough.
 *
 * @param outcome how the request ended
 * @param status HTTP status of the response; 0 without a response
 * @param headers headers of the response
 * @param body body of the response, in Base64; empty if it is not kept
 * @param bodyKept whether the body was small enough to keep
 */
public record ClaimResult(ClaimOutcome outcome, int status, List<HttpHeader> headers, String body, boolean bodyKept) {

	public ClaimResult {
		headers = List.copyOf(headers);
	}

	/**
	 * Creates a result without a response.
	 * @param outcome how the request ended
	 * @return the result
	 */
	public static ClaimResult withoutResponse(ClaimOutcome outcome) {
		return new ClaimResult(outcome, 0, List.of(), "", false);
	}

}
