package io.anvilusher.model.request;

import java.util.Locale;

/**
 * Why an attempt has no whole answer. The name in lower case is the label of the retry
 * counter.
 */
public enum AttemptFailure {

	/** There is no connection to the sidecar. */
	NO_LINK,

	/** The connection to the sidecar was lost. */
	LINK_LOST,

	/** The sidecar was replaced since the attempt was made. */
	SIDECAR_REPLACED,

	/** The attempt reached the sidecar after its time to start. */
	STARTED_TOO_LATE,

	/** The attempt was cancelled before it started. */
	CANCELLED,

	/** The backend server is leaving. */
	SERVER_DRAINING,

	/** The backend server runs as much as it may. */
	SERVER_FULL,

	/** The backend server takes no connection. */
	SERVER_UNREACHABLE,

	/** The backend server broke off. */
	SERVER_CRASHED,

	/** The backend server's answer was not whole. */
	ANSWER_CUT,

	/** The answer's frames were out of order or of the wrong number. */
	FRAMES_BROKEN,

	/** No answer came in time. */
	TIMED_OUT;

	/**
	 * Returns the label of the retry counter.
	 * @return the name in lower case
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT);
	}

}
