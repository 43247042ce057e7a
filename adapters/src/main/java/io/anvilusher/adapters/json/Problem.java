package io.anvilusher.adapters.json;

/**
 * A problem found in a settings file or a configuration text.
 *
 * @param position position of the problem
 * @param message what is wrong
 */
public record Problem(TextPosition position, String message) {

	/**
	 * Formats the problem like a compiler message.
	 * @param file name of the file that contains the text
	 * @return file, line, column and message, separated by colons
	 */
	public String format(String file) {
		return file + ":" + this.position + ": " + this.message;
	}

}
