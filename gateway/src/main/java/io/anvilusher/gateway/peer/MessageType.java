package io.anvilusher.gateway.peer;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/**
 * Type of a message between gateways.
 */
public enum MessageType {

	/** A gateway's use of the workspaces' allowances. */
	ALLOWANCE_REPORT(1),

	/** Amounts that an allocator grants to a gateway. */
	ALLOWANCE_GRANT(2),

	/** A request that a coordinator should place. */
	PLACEMENT_REQUEST(3),

	/** A coordinator's answer to a placement request. */
	PLACEMENT_REPLY(4),

	/** The end of a placed request or of its prefill. */
	PLACEMENT_END(5),

	/** The limit that a server names, or its end. */
	SERVER_LIMIT(6),

	/** A gateway's wish for permits to send requests to a limited server. */
	PERMIT_WISH(7),

	/** Permits to send requests to a limited server. */
	PERMIT_GRANT(8);

	private final int code;

	MessageType(int code) {
		this.code = code;
	}

	/**
	 * Returns the code of this type in a datagram.
	 * @return the code
	 */
	int code() {
		return this.code;
	}

	/**
	 * Returns the value of this type in the tags of metrics.
	 * @return the value
	 */
	String label() {
		return name().toLowerCase(Locale.ROOT);
	}

	/**
	 * Returns the type with a code.
	 * @param code code in a datagram
	 * @return the type, or empty if the code is not assigned
	 */
	static Optional<MessageType> of(int code) {
		return Arrays.stream(values()).filter((type) -> type.code == code).findFirst();
	}

}
