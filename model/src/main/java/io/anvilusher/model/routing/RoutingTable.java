package io.anvilusher.model.routing;

import java.util.List;
import java.util.Map;

/**
 * One version of the routing table.
 *
 * @param version version of the table; a higher version replaces all lower ones
 * @param routes the routes
 * @param services the services by name
 * @param requiresKeys whether requests need the key of a workspace, unless their route is
 * open to all. A table of which all keys were withdrawn still requires one.
 * @param workspaceByKey the workspaces by key
 * @param limits limits on requests from callers
 * @param allowances the usage limits by workspace; a workspace without an entry is not
 * limited
 */
public record RoutingTable(long version, List<Route> routes, Map<String, ServiceProfile> services, boolean requiresKeys,
		Map<String, String> workspaceByKey, CallerLimits limits, Map<String, WorkspaceLimit> allowances) {

	public RoutingTable {
		routes = List.copyOf(routes);
		services = Map.copyOf(services);
		workspaceByKey = Map.copyOf(workspaceByKey);
		allowances = Map.copyOf(allowances);
		if (!requiresKeys && !workspaceByKey.isEmpty()) {
			throw new IllegalArgumentException(
					"version " + version + " has " + workspaceByKey.size() + " keys, so it must require one");
		}
	}

	/**
	 * Describes the table without its keys, which must not be logged.
	 * @return the version and the number of routes and keys
	 */
	@Override
	public String toString() {
		return "RoutingTable[version=" + this.version + ", routes=" + this.routes.size() + ", keys="
				+ this.workspaceByKey.size() + "]";
	}

}
