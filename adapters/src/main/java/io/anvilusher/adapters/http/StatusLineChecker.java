package io.anvilusher.adapters.http;

/**
 * Checks the status line of a response byte by byte. Undertow's parser takes other
 * versions for HTTP/1.1.
 */
final class StatusLineChecker {

	/** The beginning of a status line; V is a minor version, S and D are digits. */
	private static final String PATTERN = "HTTP/1.V SDD ";

	private static final int VERSION_AT = PATTERN.indexOf('V');

	private static final int FIRST_DIGIT_AT = PATTERN.indexOf('S');

	private static final int LAST_DIGIT_AT = PATTERN.lastIndexOf('D');

	private int position;

	private boolean returned;

	private int status;

	private boolean chunksKnown;

	/**
	 * Begins with the next status line.
	 */
	void reset() {
		this.position = 0;
		this.returned = false;
		this.status = 0;
	}

	/**
	 * Checks the next byte.
	 * @param next the byte
	 * @return whether it is the last one of the line
	 * @throws MalformedResponseException if the line is no status line of HTTP/1.1 or
	 * HTTP/1.0
	 */
	boolean endsWith(byte next) throws MalformedResponseException {
		if (this.position < PATTERN.length()) {
			readPattern(next);
			return false;
		}
		if (this.returned) {
			FieldLineChecker.readLineFeed(next);
			return true;
		}
		if (next == '\r') {
			this.returned = true;
		}
		else {
			FieldLineChecker.checkText(next, ResponseRule.STATUS_LINE);
		}
		return false;
	}

	private void readPattern(byte next) throws MalformedResponseException {
		if (!matches(PATTERN.charAt(this.position), next)) {
			throw new MalformedResponseException(ResponseRule.STATUS_LINE);
		}
		if (this.position == VERSION_AT) {
			this.chunksKnown = next != '0';
		}
		if (this.position >= FIRST_DIGIT_AT && this.position <= LAST_DIGIT_AT) {
			this.status = this.status * 10 + next - '0';
		}
		this.position++;
	}

	private static boolean matches(char expected, byte next) {
		return switch (expected) {
			case 'V' -> next == '0' || next == '1';
			case 'S' -> next >= '1' && next <= '5';
			case 'D' -> next >= '0' && next <= '9';
			default -> next == expected;
		};
	}

	/**
	 * Returns the status of a line that has ended.
	 * @return a number from 100 to 599
	 */
	int status() {
		return this.status;
	}

	/**
	 * Returns whether the version of the response knows Transfer-Encoding.
	 * @return false for HTTP/1.0
	 */
	boolean knowsChunks() {
		return this.chunksKnown;
	}

}
