package io.anvilusher.gateway.peer;

import java.util.Locale;

/**
 * Why a message between gateways was dropped.
 */
enum DropReason {

	/** The datagram ends before its payload begins, or its sender has no name. */
	TOO_SHORT,

	/** The datagram, or the message to send, has more bytes than allowed. */
	TOO_LARGE,

	/** The datagram has another version of the format. */
	VERSION,

	/** The type of the message is not assigned. */
	TYPE_UNKNOWN,

	/** The source address is not registered under the name of the sender. */
	SENDER_UNREGISTERED,

	/** No receiver is set for the type of the message. */
	NO_RECEIVER,

	/** The receiver of the message threw an exception. */
	RECEIVER_FAILED,

	/** The gateway that the message is meant for is not in the list. */
	PEER_UNKNOWN,

	/** There is no socket yet, or it accepted no datagram. */
	NOT_SENT;

	/**
	 * Returns the value of this reason in the tags of metrics.
	 * @return the value
	 */
	String label() {
		return name().toLowerCase(Locale.ROOT);
	}

}
