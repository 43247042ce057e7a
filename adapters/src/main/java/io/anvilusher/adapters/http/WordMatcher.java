package io.anvilusher.adapters.http;

/**
 * Compares bytes that come one by one with a word, without regard to case.
 */
final class WordMatcher {

	private static final int MISMATCH = -1;

	private final String word;

	private int position;

	/**
	 * Creates a matcher.
	 * @param word the word, in lower case
	 */
	WordMatcher(String word) {
		this.word = word;
	}

	void reset() {
		this.position = 0;
	}

	void add(byte next) {
		if (this.position == MISMATCH) {
			return;
		}
		boolean equal = this.position < this.word.length()
				&& this.word.charAt(this.position) == Character.toLowerCase((char) next);
		this.position = equal ? this.position + 1 : MISMATCH;
	}

	/**
	 * Returns whether the bytes since the last reset are the whole word.
	 * @return false if they differ or are incomplete
	 */
	boolean matches() {
		return this.position == this.word.length();
	}

	/**
	 * Returns whether the bytes since the last reset are the beginning of the word.
	 * @return true also if there are none
	 */
	boolean mayMatch() {
		return this.position != MISMATCH;
	}

}
