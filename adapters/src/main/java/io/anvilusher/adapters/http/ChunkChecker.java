package io.anvilusher.adapters.http;

/**
 * Checks the framing of a body in chunks, up to the size line of the last chunk.
 */
final class ChunkChecker {

	private static final int HEXADECIMAL = 16;

	private State state = State.SIZE;

	private boolean hasSize;

	private long dataBytes;

	/**
	 * Begins with the next body.
	 */
	void reset() {
		this.state = State.SIZE;
		this.hasSize = false;
		this.dataBytes = 0;
	}

	/**
	 * Skips data of the current chunk.
	 * @param availableBytes number of bytes that were read
	 * @return how many of them are data; 0 if framing comes next
	 */
	int skipData(int availableBytes) {
		if (this.state != State.DATA) {
			return 0;
		}
		int skipped = (int) Math.min(availableBytes, this.dataBytes);
		this.dataBytes -= skipped;
		if (this.dataBytes == 0) {
			this.state = State.DATA_RETURN;
		}
		return skipped;
	}

	/**
	 * Checks the next byte of framing.
	 * @param next the byte
	 * @return whether it is the last one of the size line of the last chunk
	 * @throws MalformedResponseException if it belongs to no chunk
	 */
	boolean endsWith(byte next) throws MalformedResponseException {
		switch (this.state) {
			case SIZE -> readSize(next);
			case SIZE_BLANK -> readBeforeExtension(next);
			case EXTENSION -> readExtension(next);
			case SIZE_LINE_FEED -> {
				FieldLineChecker.readLineFeed(next);
				this.state = State.DATA;
				return this.dataBytes == 0;
			}
			case DATA, DATA_RETURN -> {
				require(next == '\r');
				this.state = State.DATA_LINE_FEED;
			}
			case DATA_LINE_FEED -> {
				require(next == '\n');
				reset();
			}
		}
		return false;
	}

	private void readSize(byte next) throws MalformedResponseException {
		int digit = Character.digit(next, HEXADECIMAL);
		if (digit >= 0) {
			require(this.dataBytes <= (Long.MAX_VALUE - digit) / HEXADECIMAL);
			this.dataBytes = this.dataBytes * HEXADECIMAL + digit;
			this.hasSize = true;
			return;
		}
		require(this.hasSize);
		if (next == '\r') {
			this.state = State.SIZE_LINE_FEED;
		}
		else {
			readBeforeExtension(next);
		}
	}

	private void readBeforeExtension(byte next) throws MalformedResponseException {
		require(next == ';' || next == ' ' || next == '\t');
		this.state = (next == ';') ? State.EXTENSION : State.SIZE_BLANK;
	}

	private void readExtension(byte next) throws MalformedResponseException {
		if (next == '\r') {
			this.state = State.SIZE_LINE_FEED;
		}
		else {
			FieldLineChecker.checkText(next, ResponseRule.CHUNK);
		}
	}

	private static void require(boolean condition) throws MalformedResponseException {
		if (!condition) {
			throw new MalformedResponseException(ResponseRule.CHUNK);
		}
	}

	private enum State {

		SIZE, SIZE_BLANK, EXTENSION, SIZE_LINE_FEED, DATA, DATA_RETURN, DATA_LINE_FEED

	}

}
