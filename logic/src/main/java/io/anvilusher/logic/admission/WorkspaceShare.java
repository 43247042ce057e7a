package io.anvilusher.logic.admission;

/**
 * What a workspace may claim of a service.
 *
 * @param workspace name of the workspace
 * @param weight its share against others
 * @param urgent whether its work goes before work that nobody waits for
 */
public record WorkspaceShare(String workspace, double weight, boolean urgent) {

	public WorkspaceShare {
		if (!(weight > 0)) {
			throw new IllegalArgumentException("A weight is above 0");
		}
	}

}
