package io.anvilusher.gateway.allowance;

import java.util.List;

/**
 * A report or a grant in the common form in which it is encoded.
 *
 * @param head the numbers that belong to the whole message; none is negative
 * @param amounts the numbers by workspace
 */
record AllowanceMessage(List<Long> head, List<WorkspaceAmounts> amounts) {

	AllowanceMessage {
		head = List.copyOf(head);
		amounts = List.copyOf(amounts);
	}

	/**
	 * The numbers of a workspace.
	 *
	 * @param workspace name of the workspace
	 * @param values the numbers; none is negative
	 */
	record WorkspaceAmounts(String workspace, List<Long> values) {

		WorkspaceAmounts {
			values = List.copyOf(values);
		}

	}

}
