package io.anvilusher.adapters.http;

import java.io.IOException;
import java.io.Serial;

/**
 * A server sent bytes that break a rule for responses.
 */
final class MalformedResponseException extends IOException {

	@Serial
	private static final long serialVersionUID = 1L;

	private final ResponseRule rule;

	MalformedResponseException(ResponseRule rule) {
		super("The server sent a malformed response: " + rule.text());
		this.rule = rule;
	}

	/**
	 * Returns the rule that the response breaks.
	 * @return the rule
	 */
	ResponseRule rule() {
		return this.rule;
	}

}
