package io.anvilusher.gateway.allowance;

import java.util.List;

/**
 * A part of a message, which is one datagram.
 *
 * @param head the numbers that belong to the whole message; the same in all parts
 * @param index number of the part, from 0
 * @param count number of parts of the message, at least 1
 * @param amounts the workspaces of this part
 */
record MessagePart(List<Long> head, int index, int count, List<AllowanceMessage.WorkspaceAmounts> amounts) {

	/** Largest number of parts; it bounds the memory of messages that are incomplete. */
	static final int MAX_COUNT = 64;

	MessagePart {
		head = List.copyOf(head);
		amounts = List.copyOf(amounts);
	}

}
