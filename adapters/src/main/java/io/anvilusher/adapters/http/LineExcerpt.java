package io.anvilusher.adapters.http;

/**
 * The beginning of the current line of a response, for logs.
 */
final class LineExcerpt {

	private static final int MAX_BYTES = 80;

	private final byte[] bytes = new byte[MAX_BYTES];

	private int lengthBytes;

	private boolean ended;

	/**
	 * Adds a byte of the line, or begins the next line if the last byte ended one.
	 * @param next the byte
	 */
	void add(byte next) {
		if (this.ended) {
			this.lengthBytes = 0;
		}
		if (this.lengthBytes < MAX_BYTES) {
			this.bytes[this.lengthBytes] = next;
		}
		this.lengthBytes++;
		this.ended = next == '\n';
	}

	boolean isEnded() {
		return this.ended;
	}

	/**
	 * Returns the beginning of the line without the CR LF at its end.
	 * @return the line; bytes that are not printable ASCII are escaped as {@code \x0a}
	 */
	@Override
	public String toString() {
		StringBuilder text = new StringBuilder();
		for (int index = 0; index < Math.min(this.lengthBytes, MAX_BYTES); index++) {
			byte next = this.bytes[index];
			if (next >= ' ' && next < 0x7f && next != '\\') {
				text.append((char) next);
			}
			else {
				text.append(String.format("\\x%02x", next));
			}
		}
		if (this.lengthBytes > MAX_BYTES) {
			return text.append("...").toString();
		}
		return text.toString().replaceFirst("\\\\x0d\\\\x0a$", "");
	}

}
