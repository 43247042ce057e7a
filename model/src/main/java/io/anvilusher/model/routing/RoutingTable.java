package io.anvilusher.model.routing;

import java.util.List;
import java.util.Map;

/**
 * One version of the routing table.
 *
 * @param version version; a higher one supersedes all lower ones
 * @param routes the routes
 * @param services the services by name
 * @param workspaceByKey the workspace of each key
 * @param limits what callers may send
 */
public record RoutingTable(long version, List<Route> routes, Map<String, ServiceProfile> services,
		Map<String, String> workspaceByKey, CallerLimits limits) {

	public RoutingTable {
		routes = List.copyOf(routes);
		services = Map.copyOf(services);
		workspaceByKey = Map.copyOf(workspaceByKey);
	}

	/**
	 * Describes the table without its keys.
	 * @return version and sizes
	 */
	@Override
	public String toString() {
		return "RoutingTable[version=" + this.version + ", routes=" + this.routes.size() + ", keys="
				+ this.workspaceByKey.size() + "]";
	}

}
