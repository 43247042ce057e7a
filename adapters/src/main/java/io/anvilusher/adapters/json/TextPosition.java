package io.anvilusher.adapters.json;

/**
 * A position in a text.
 *
 * @param line line number, starting at 1
 * @param column column number, starting at 1
 */
public record TextPosition(int line, int column) {

	@Override
	public String toString() {
		return this.line + ":" + this.column;
	}

}
