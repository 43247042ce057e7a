package io.anvilusher.logic.request;

import java.util.Locale;

/**
 * What is known about one send of a request to a server.
 */
public enum SendState {

	/** No byte of the request has left. */
	NOT_SENT,

	/** Some of the request may have left, and nothing proves that it was not run. */
	UNPROVEN,

	/** The server stated that it neither ran the request nor will run it. */
	REFUSED,

	/** The engine stated that it only prefilled the prompt. */
	PREFILLED;

	/**
	 * Returns whether the server may have run the request, or may still run it.
	 * @return whether nothing excludes it
	 */
	public boolean mayHaveRun() {
		return this == UNPROVEN;
	}

	/**
	 * Returns the name for log lines.
	 * @return the name in lower case
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT);
	}

}
