package io.anvilusher.model.config;

import java.util.List;

/**
 * A workspace and what it may use.
 *
 * @param name its name
 * @param services names of the services that it may call
 * @param weight its share against other workspaces when there is not enough for all
 * @param maxConcurrent most calls that one entry holds for it at once
 * @param urgent whether its calls go before work that nobody waits for
 */
public record WorkspaceSpec(String name, List<String> services, double weight, int maxConcurrent, boolean urgent) {

	public WorkspaceSpec {
		services = List.copyOf(services);
	}

}
