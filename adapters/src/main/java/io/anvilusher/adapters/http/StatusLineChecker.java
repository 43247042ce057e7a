package io.anvilusher.adapters.http;

/**
 * Checks that each response to a request begins with a status line of HTTP/1.1 or
 * HTTP/1.0 (RFC 9112, section 4). Undertow's parser takes other versions for HTTP/1.1.
 * The bytes may come in parts of any size, and interim responses may come first.
 */
final class StatusLineChecker {

	/** The beginning of a status line; V is a minor version, S and D are digits. */
	private static final String PATTERN = "HTTP/1.V SDD ";

	private static final int FIRST_DIGIT_AT = PATTERN.indexOf('S');

	private int position;

	private boolean interim;

	private boolean lineEmpty;

	/**
	 * Begins with the next response, whose first byte comes next.
	 */
	void reset() {
		this.position = 0;
		this.interim = false;
		this.lineEmpty = false;
	}

	/**
	 * Returns whether the status line of the final response was checked.
	 * @return false if bytes are still to be checked
	 */
	boolean isDone() {
		return this.position == PATTERN.length() && !this.interim;
	}

	/**
	 * Checks the next byte.
	 * @param next the byte
	 * @return false if the response does not begin with a status line
	 */
	boolean accepts(byte next) {
		if (this.position == PATTERN.length()) {
			if (this.interim) {
				skip(next);
			}
			return true;
		}
		if (!matches(PATTERN.charAt(this.position), next)) {
			return false;
		}
		if (this.position == FIRST_DIGIT_AT) {
			this.interim = next == '1';
		}
		this.position++;
		return true;
	}

	private static boolean matches(char expected, byte next) {
		return switch (expected) {
			case 'V' -> next == '0' || next == '1';
			case 'S' -> next >= '1' && next <= '5';
			case 'D' -> next >= '0' && next <= '9';
			default -> next == expected;
		};
	}

	// An empty line ends the head of an interim response.
	private void skip(byte next) {
		if (next == '\n') {
			if (this.lineEmpty) {
				reset();
				return;
			}
			this.lineEmpty = true;
		}
		else if (next != '\r') {
			this.lineEmpty = false;
		}
	}

}
