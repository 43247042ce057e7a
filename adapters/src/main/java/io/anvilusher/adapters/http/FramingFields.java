package io.anvilusher.adapters.http;

/**
 * Reads the fields of a head that tell where its body ends, byte by byte. Fields that
 * would let two readers disagree about that end are rejected.
 */
final class FramingFields {

	/** The length where the head has none. */
	static final long NO_LENGTH = -1;

	private final WordMatcher lengthName = new WordMatcher("content-length");

	private final WordMatcher codingName = new WordMatcher("transfer-encoding");

	private final WordMatcher chunkedCoding = new WordMatcher("chunked");

	private boolean codingAllowed;

	private long lengthBytes;

	private boolean chunked;

	private Field field = Field.OTHER;

	private long currentBytes;

	private boolean valueEnded;

	/**
	 * Begins with the fields of the next head.
	 * @param allowCoding whether the version of HTTP knows Transfer-Encoding
	 */
	void reset(boolean allowCoding) {
		this.codingAllowed = allowCoding;
		this.lengthBytes = NO_LENGTH;
		this.chunked = false;
	}

	void onNameStart() {
		this.lengthName.reset();
		this.codingName.reset();
	}

	void onNameByte(byte next) {
		this.lengthName.add(next);
		this.codingName.add(next);
	}

	void onValueStart() {
		this.field = this.lengthName.matches() ? Field.LENGTH : this.codingName.matches() ? Field.CODING : Field.OTHER;
		this.currentBytes = NO_LENGTH;
		this.valueEnded = false;
		this.chunkedCoding.reset();
	}

	/**
	 * Reads a byte of the current value, including the blanks around it.
	 * @param next the byte
	 * @throws MalformedResponseException if the value is no length or coding
	 */
	void onValueByte(byte next) throws MalformedResponseException {
		switch (this.field) {
			case LENGTH -> readLength(next);
			case CODING -> readCoding(next);
			case OTHER -> {
			}
		}
	}

	private void readLength(byte next) throws MalformedResponseException {
		if (isBlank(next)) {
			this.valueEnded = this.currentBytes != NO_LENGTH;
			return;
		}
		int digit = next - '0';
		long before = Math.max(0, this.currentBytes);
		if (this.valueEnded || digit < 0 || digit > 9 || before > (Long.MAX_VALUE - digit) / 10) {
			throw new MalformedResponseException(ResponseRule.CONTENT_LENGTH);
		}
		this.currentBytes = before * 10 + digit;
	}

	private void readCoding(byte next) throws MalformedResponseException {
		if (!isBlank(next)) {
			this.chunkedCoding.add(next);
			if (this.valueEnded || !this.chunkedCoding.mayMatch()) {
				throw new MalformedResponseException(ResponseRule.TRANSFER_ENCODING);
			}
		}
		else if (this.chunkedCoding.matches()) {
			this.valueEnded = true;
		}
	}

	private static boolean isBlank(byte next) {
		return next == ' ' || next == '\t';
	}

	/**
	 * Ends the current value.
	 * @throws MalformedResponseException if the fields so far leave the end of the body
	 * open
	 */
	void onValueEnd() throws MalformedResponseException {
		if (this.field == Field.LENGTH) {
			boolean differs = this.lengthBytes != NO_LENGTH && this.lengthBytes != this.currentBytes;
			if (this.currentBytes == NO_LENGTH || differs) {
				throw new MalformedResponseException(ResponseRule.CONTENT_LENGTH);
			}
			this.lengthBytes = this.currentBytes;
		}
		else if (this.field == Field.CODING) {
			if (!this.chunkedCoding.matches() || this.chunked || !this.codingAllowed) {
				throw new MalformedResponseException(ResponseRule.TRANSFER_ENCODING);
			}
			this.chunked = true;
		}
		if (this.chunked && this.lengthBytes != NO_LENGTH) {
			throw new MalformedResponseException(ResponseRule.LENGTH_AND_CODING);
		}
	}

	/**
	 * Returns the length of the body.
	 * @return length in bytes, or {@link #NO_LENGTH}
	 */
	long lengthBytes() {
		return this.lengthBytes;
	}

	boolean isChunked() {
		return this.chunked;
	}

	private enum Field {

		LENGTH, CODING, OTHER

	}

}
