package io.anvilusher.adapters.http;

import java.nio.ByteBuffer;

/**
 * Checks the heads of all responses that a server sends on one connection, and the
 * framing of bodies in chunks. The bytes may come in parts of any size, and interim
 * responses may come first. Undertow's parser is lenient: it takes a response for whole
 * although its head contradicts itself or was damaged.
 */
final class ResponseChecker {

	private static final int NO_CONTENT = 204;

	private static final int NOT_MODIFIED = 304;

	private static final int FIRST_FINAL_STATUS = 200;

	private final StatusLineChecker statusLine = new StatusLineChecker();

	private final FieldLineChecker fields = new FieldLineChecker();

	private final ChunkChecker chunks = new ChunkChecker();

	private final LineExcerpt line = new LineExcerpt();

	private Part part = Part.UNCHECKED;

	private boolean toHead;

	/**
	 * Begins with the response to the next request, whose first byte comes next.
	 * @param method method of the request
	 */
	void onRequest(String method) {
		this.toHead = method.equals("HEAD");
		beginResponse();
	}

	private void beginResponse() {
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
			while (index < to && this.part != Part.UNCHECKED) {
				int skipped = (this.part == Part.CHUNKS) ? this.chunks.skipData(to - index) : 0;
				if (skipped == 0) {
					byte next = buffer.get(index);
					this.line.add(next);
					checkByte(next);
					skipped = 1;
				}
				index += skipped;
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
		switch (this.part) {
			case STATUS_LINE -> {
				if (this.statusLine.endsWith(next)) {
					this.fields.reset(this.statusLine.knowsChunks());
					this.part = Part.FIELDS;
				}
			}
			case FIELDS -> {
				if (this.fields.endsWith(next)) {
					onHeadEnd();
				}
			}
			case CHUNKS -> {
				if (this.chunks.endsWith(next)) {
					this.fields.reset(true);
					this.part = Part.TRAILERS;
				}
			}
			case TRAILERS -> {
				if (this.fields.endsWith(next)) {
					this.part = Part.UNCHECKED;
				}
			}
			case UNCHECKED -> throw new IllegalStateException("these bytes are not checked");
		}
	}

	private void onHeadEnd() {
		int status = this.statusLine.status();
		if (status < FIRST_FINAL_STATUS) {
			beginResponse();
			return;
		}
		boolean bodiless = this.toHead || status == NO_CONTENT || status == NOT_MODIFIED;
		if (bodiless || !this.fields.framing().isChunked()) {
			this.part = Part.UNCHECKED;
			return;
		}
		this.chunks.reset();
		this.part = Part.CHUNKS;
	}

	private enum Part {

		STATUS_LINE, FIELDS, CHUNKS, TRAILERS, UNCHECKED

	}

}
