package io.anvilusher.logic.allowance;

/**
 * The use that a gateway may reach for a workspace.
 *
 * @param workspace name of the workspace
 * @param ceiling use that may count at the gateway at any time while the grant is valid,
 * in the unit of the limit
 */
public record GrantedCeiling(String workspace, long ceiling) {

	public GrantedCeiling {
		if (ceiling < 0) {
			throw new IllegalArgumentException("ceiling " + ceiling + " of workspace " + workspace + " is negative");
		}
	}

}
