package io.anvilusher.adapters.json;

/**
 * A place in a text.
 *
 * @param line line, counted from 1
 * @param column column, counted from 1
 */
public record Place(int line, int column) {

	@Override
	public String toString() {
		return this.line + ":" + this.column;
	}

}
