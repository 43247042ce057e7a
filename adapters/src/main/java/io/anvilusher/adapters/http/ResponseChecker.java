package io.anvilusher.adapters.http;

import java.nio.ByteBuffer;

/**
 * Checks all bytes that a server sends on one connection: the heads of its responses, the
 * framing of their bodies, and that nothing else follows them. The bytes may come in
 * parts of any size. Undertow's parser is lenient: it takes a response for whole although
 * its head contradicts itself or was damaged.
 */
final class ResponseChecker {

	/** How the bytes that follow a response may begin. */
	private static final String NEXT_RESPONSE = "HTTP/1.";

	private static final int NO_CONTENT = 204;

	private static final int NOT_MODIFIED = 304;

	private static final int FIRST_FINAL_STATUS = 200;

	private final StatusLineChecker statusLine = new StatusLineChecker();

	private final FieldLineChecker fields = new FieldLineChecker();

	private final ChunkChecker chunks = new ChunkChecker();

	private final LineExcerpt line = new LineExcerpt();

	private Part part = Part.IDLE;

	private boolean toHead;

	private long bodyBytes;

	private int followingBytes;

	/**
	 * Begins with the response to the next request, whose first byte comes next.
	 * @param method method of the request
	 */
	void onRequest(String method) {
		this.toHead = method.equals("HEAD");
		this.followingBytes = 0;
		beginResponse();
	}

	private void beginResponse() {
		this.statusLine.reset();
		this.part = Part.STATUS_LINE;
	}

	/**
	 * Records that the call has ended and that its connection waits for the next request.
	 */
	void onIdle() {
		this.part = Part.IDLE;
	}

	/**
	 * Records that the connection is being closed, so that no byte matters any more.
	 */
	void onAbandoned() {
		this.part = Part.ABANDONED;
	}

	/**
	 * Returns whether bytes have followed the end of the response. They may be a late
	 * copy of an earlier response, which must not be taken for the next one.
	 * @return whether there were any
	 */
	boolean isFollowed() {
		return this.followingBytes > 0;
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
			while (index < to) {
				int skipped = skipBody(to - index);
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
			this.part = Part.ABANDONED;
			for (int rest = index + 1; rest < to && !this.line.isEnded(); rest++) {
				this.line.add(buffer.get(rest));
			}
			throw ex;
		}
	}

	private int skipBody(int availableBytes) {
		return switch (this.part) {
			case FIXED_BODY -> {
				int skipped = (int) Math.min(availableBytes, this.bodyBytes);
				this.bodyBytes -= skipped;
				if (this.bodyBytes == 0) {
					this.part = Part.END;
				}
				yield skipped;
			}
			case CHUNKS -> this.chunks.skipData(availableBytes);
			case OPEN_BODY, ABANDONED -> availableBytes;
			case STATUS_LINE, FIELDS, TRAILERS, END, IDLE -> 0;
		};
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
					this.part = Part.END;
				}
			}
			case END -> checkFollowing(next);
			case IDLE -> throw new MalformedResponseException(ResponseRule.UNREQUESTED);
			case FIXED_BODY, OPEN_BODY, ABANDONED -> throw new IllegalStateException("body bytes are skipped");
		}
	}

	private void onHeadEnd() throws MalformedResponseException {
		int status = this.statusLine.status();
		if (status < FIRST_FINAL_STATUS) {
			beginResponse();
			return;
		}
		FramingFields framing = this.fields.framing();
		this.bodyBytes = framing.lengthBytes();
		if (status == NO_CONTENT && (this.bodyBytes > 0 || framing.isChunked())) {
			throw new MalformedResponseException(ResponseRule.NO_CONTENT);
		}
		if (this.toHead || status == NO_CONTENT || status == NOT_MODIFIED || this.bodyBytes == 0) {
			this.part = Part.END;
		}
		else if (framing.isChunked()) {
			this.chunks.reset();
			this.part = Part.CHUNKS;
		}
		else {
			this.part = (this.bodyBytes == FramingFields.NO_LENGTH) ? Part.OPEN_BODY : Part.FIXED_BODY;
		}
	}

	// A body after the response to HEAD is a common fault of servers and is ignored.
	// Otherwise, bytes that begin no further response show that the length was wrong.
	private void checkFollowing(byte next) throws MalformedResponseException {
		if (this.followingBytes >= NEXT_RESPONSE.length()) {
			return;
		}
		if (!this.toHead && next != NEXT_RESPONSE.charAt(this.followingBytes)) {
			throw new MalformedResponseException(ResponseRule.RESPONSE_END);
		}
		this.followingBytes++;
	}

	private enum Part {

		/** No request waits for a response. */
		IDLE,

		STATUS_LINE,

		FIELDS,

		/** A body with a length. */
		FIXED_BODY,

		/** A body in chunks; their data and their framing. */
		CHUNKS,

		TRAILERS,

		/** A body that ends with the connection. */
		OPEN_BODY,

		/** What follows the response. */
		END,

		/** The connection is being closed. */
		ABANDONED

	}

}
