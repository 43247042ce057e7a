package io.anvilusher.model.request;

import java.util.Locale;

/**
 * The reason why an attempt got no complete response. The name in lower case is the label
 * of the retry counter.
 */
public enum AttemptFailure {

	/** There is no connection to the sidecar. */
	NO_LINK,

	/** The connection to the sidecar was lost. */
	LINK_LOST,

	/** The attempt was meant for another incarnation of the sidecar. */
	SIDECAR_REPLACED,

	/**
	 * The latest time to start the attempt had passed when the sidecar could start it.
	 */
	STARTED_TOO_LATE,

	/** The entry cancelled the attempt. */
	CANCELLED,

	/**
	 * The backend server takes no new requests because it is leaving, stopping or
	 * changing its engine.
	 */
	SERVER_DRAINING,

	/** All slots of the backend server are in use, or it is reserved for a suspect. */
	SERVER_FULL,

	/** The backend server accepts no connection. */
	SERVER_UNREACHABLE,

	/** The connection to the backend server broke after the request was sent. */
	SERVER_CRASHED,

	/** The backend server sent an incomplete response. */
	ANSWER_CUT,

	/** Frames of the response were out of order, or their number or size was wrong. */
	FRAMES_BROKEN,

	/** The response did not arrive in time. */
	TIMED_OUT;

	/**
	 * Returns the label of the retry counter.
	 * @return the name in lower case
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT);
	}

}
