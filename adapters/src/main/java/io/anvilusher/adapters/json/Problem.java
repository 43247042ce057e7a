package io.anvilusher.adapters.json;

/**
 * A mistake in a text.
 *
 * @param place where it is
 * @param message what is wrong
 */
public record Problem(Place place, String message) {

	/**
	 * Formats the mistake the way compilers do.
	 * @param file name of the file that holds the text
	 * @return file, line, column and message
	 */
	public String format(String file) {
		return file + ":" + this.place + ": " + this.message;
	}

}
