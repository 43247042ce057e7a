package io.anvilusher.model.config;

import java.util.List;

/**
 * A workspace with its permissions and limits.
 *
 * @param name name of the workspace
 * @param services names of the services that it may call
 * @param weight share of the capacity relative to other workspaces when there is too
 * little for all
 * @param maxConcurrent largest number of requests of the workspace that one entry accepts
 * at once
 * @param urgent whether its requests are served before those that no caller waits for,
 * such as nightly batches
 */
public record WorkspaceSpec(String name, List<String> services, double weight, int maxConcurrent, boolean urgent) {

	public WorkspaceSpec {
		services = List.copyOf(services);
	}

}
