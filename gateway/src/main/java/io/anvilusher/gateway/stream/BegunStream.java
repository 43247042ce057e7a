package io.anvilusher.gateway.stream;

/**
 * A stream that has begun.
 *
 * @param requestId identifier of the request
 * @param origin where the stream began
 * @param knownAtMs when this gateway learned of it, by the monotonic clock
 */
record BegunStream(String requestId, StreamOrigin origin, long knownAtMs) {

	/**
	 * Longest identifier that is recorded, with one character for each byte of a header.
	 * Callers may send longer ones.
	 */
	private static final int MAX_ID_CHARACTERS = 128;

	/** Longest name of a service or version that is recorded. */
	private static final int MAX_NAME_CHARACTERS = 256;

	/** Objects and map nodes of an entry, without the characters of its texts. */
	private static final int ENTRY_BYTES = 200;

	/**
	 * Returns whether the stream may be recorded.
	 * @return whether its texts are short enough
	 */
	boolean isRecordable() {
		return isRecordable(this.requestId) && this.origin.service().length() <= MAX_NAME_CHARACTERS
				&& this.origin.softwareVersion().length() <= MAX_NAME_CHARACTERS;
	}

	/**
	 * Returns whether streams of a request may be recorded.
	 * @param requestId identifier of the request
	 * @return whether it is short enough
	 */
	static boolean isRecordable(String requestId) {
		return requestId.length() <= MAX_ID_CHARACTERS;
	}

	/**
	 * Returns the memory that the stream takes in a map.
	 * @return upper bound in bytes
	 */
	int memoryBytes() {
		return ENTRY_BYTES + Character.BYTES
				* (this.requestId.length() + this.origin.service().length() + this.origin.softwareVersion().length());
	}

}
