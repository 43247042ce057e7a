package io.anvilusher.adapters.http;

/**
 * Checks the field lines of a head or of trailers, up to the empty line that ends them.
 */
final class FieldLineChecker {

	private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";

	private static final boolean[] TOKEN_BYTES = tokenBytes();

	private final FramingFields framing = new FramingFields();

	private State state = State.LINE_START;

	private static boolean[] tokenBytes() {
		boolean[] token = new boolean[256];
		for (char next = 0; next < 128; next++) {
			token[next] = (next >= '0' && next <= '9') || (next >= 'a' && next <= 'z') || (next >= 'A' && next <= 'Z')
					|| TOKEN_SYMBOLS.indexOf(next) >= 0;
		}
		return token;
	}

	/**
	 * Begins with the next field lines.
	 * @param allowCoding whether Transfer-Encoding is allowed among them
	 */
	void reset(boolean allowCoding) {
		this.state = State.LINE_START;
		this.framing.reset(allowCoding);
	}

	/**
	 * Returns what the fields say about the end of the body.
	 * @return the fields that were read since the last reset
	 */
	FramingFields framing() {
		return this.framing;
	}

	/**
	 * Checks the next byte.
	 * @param next the byte
	 * @return whether it is the last one of the empty line
	 * @throws MalformedResponseException if the line is no field line
	 */
	boolean endsWith(byte next) throws MalformedResponseException {
		switch (this.state) {
			case LINE_START -> readLineStart(next);
			case NAME -> readName(next);
			case VALUE -> readValue(next);
			case LINE_FEED -> {
				readLineFeed(next);
				this.state = State.LINE_START;
			}
			case LAST_LINE_FEED -> {
				readLineFeed(next);
				return true;
			}
		}
		return false;
	}

	private void readLineStart(byte next) throws MalformedResponseException {
		if (next == '\r') {
			this.state = State.LAST_LINE_FEED;
			return;
		}
		if (next == ':') {
			throw new MalformedResponseException(ResponseRule.FIELD_NAME);
		}
		this.framing.onNameStart();
		this.state = State.NAME;
		readName(next);
	}

	private void readName(byte next) throws MalformedResponseException {
		if (next == ':') {
			this.framing.onValueStart();
			this.state = State.VALUE;
			return;
		}
		if (!TOKEN_BYTES[Byte.toUnsignedInt(next)]) {
			throw new MalformedResponseException(ResponseRule.FIELD_NAME);
		}
		this.framing.onNameByte(next);
	}

	private void readValue(byte next) throws MalformedResponseException {
		if (next == '\r') {
			this.framing.onValueEnd();
			this.state = State.LINE_FEED;
			return;
		}
		checkText(next, ResponseRule.FIELD_VALUE);
		this.framing.onValueByte(next);
	}

	/**
	 * Checks a byte of a value, a reason or an extension of a chunk.
	 * @param next the byte
	 * @param rule the rule that a control character breaks
	 * @throws MalformedResponseException if it is a control character other than a tab
	 */
	static void checkText(byte next, ResponseRule rule) throws MalformedResponseException {
		if (next == '\n') {
			throw new MalformedResponseException(ResponseRule.LINE_END);
		}
		boolean control = next >= 0 && next < ' ' && next != '\t';
		if (control || next == 0x7f) {
			throw new MalformedResponseException(rule);
		}
	}

	/**
	 * Checks the byte after a carriage return.
	 * @param next the byte
	 * @throws MalformedResponseException if it is no line feed
	 */
	static void readLineFeed(byte next) throws MalformedResponseException {
		if (next != '\n') {
			throw new MalformedResponseException(ResponseRule.LINE_END);
		}
	}

	private enum State {

		LINE_START, NAME, VALUE, LINE_FEED, LAST_LINE_FEED

	}

}
