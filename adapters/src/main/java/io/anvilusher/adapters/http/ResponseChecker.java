package io.anvilusher.adapters.http;

import java.nio.ByteBuffer;

/**
 * Checks the heads of all responses that a server sends on one connection. The bytes may
 * come in parts of any size, and interim responses may come first. Undertow's parser is
 * lenient: it takes a response for whole although its head contradicts itself or was
 * damaged.
 */
final class ResponseChecker {

	private static final int FIRST_FINAL_STATUS = 200;

	private final StatusLineChecker statusLine = new StatusLineChecker();

	private final FieldLineChecker fields = new FieldLineChecker();

	private final LineExcerpt line = new LineExcerpt();

	private Part part = Part.UNCHECKED;

	/**
	 * Begins with the response to the next request, whose first byte comes next.
	 */
	void onRequest() {
		this.statusLine.reset();
		this.part = Part.STATUS_LINE;
	}

	/**
	 * Returns the beginning of the line that was checked last.
	 * @return the line in printable characters, cut to a bound
	 */
	String line() {
		return this.line.toString();
	}

	/**
	 * Checks the next bytes.
	 * @param buffer holds the bytes
	 * @param from index of the first one
	 * @param to index after the last one
	 * @throws MalformedResponseException if they are not a response, or a part of one
	 */
	void check(ByteBuffer buffer, int from, int to) throws MalformedResponseException {
		int index = from;
		try {
			for (; index < to && this.part != Part.UNCHECKED; index++) {
				byte next = buffer.get(index);
				this.line.add(next);
				checkByte(next);
			}
		}
		catch (MalformedResponseException ex) {
			this.part = Part.UNCHECKED;
			for (int rest = index + 1; rest < to && !this.line.isEnded(); rest++) {
				this.line.add(buffer.get(rest));
			}
			throw ex;
		}
	}

	private void checkByte(byte next) throws MalformedResponseException {
		if (this.part == Part.STATUS_LINE && this.statusLine.endsWith(next)) {
			this.fields.reset(this.statusLine.knowsChunks());
			this.part = Part.FIELDS;
		}
		else if (this.part == Part.FIELDS && this.fields.endsWith(next)) {
			if (this.statusLine.status() < FIRST_FINAL_STATUS) {
				onRequest();
			}
			else {
				this.part = Part.UNCHECKED;
			}
		}
	}

	private enum Part {

		STATUS_LINE, FIELDS, UNCHECKED

	}

}
