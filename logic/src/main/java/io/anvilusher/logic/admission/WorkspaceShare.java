package io.anvilusher.logic.admission;

/**
 * Share of a service that a workspace gets for one class of requests.
 *
 * @param workspace name of the workspace
 * @param weight weight of the workspace relative to the others; positive
 * @param urgent whether the requests are served before those that no caller waits for,
 * such as nightly batches
 */
public record WorkspaceShare(String workspace, double weight, boolean urgent) {

	public WorkspaceShare {
		if (!(weight > 0)) {
			throw new IllegalArgumentException("weight must be positive: " + weight);
		}
	}

}
