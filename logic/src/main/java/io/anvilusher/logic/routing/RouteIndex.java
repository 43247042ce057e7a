package io.anvilusher.logic.routing;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

import io.anvilusher.model.routing.Route;
import io.anvilusher.model.routing.RoutingTable;
import io.anvilusher.model.routing.WeightedService;

/**
 * Finds the route of a request: of the routes of its host, the one with the longest
 * prefix of its path. Load pattern: tables of some thousand routes, looked up for each
 * request.
 */
public final class RouteIndex {

	private final RoutingTable table;

	private final Map<String, Map<String, Route>> routesByHost = new HashMap<>();

	/**
	 * Indexes a table.
	 * @param table the table
	 */
	public RouteIndex(RoutingTable table) {
		this.table = table;
		table.routes()
			.stream()
			.sorted(Comparator.comparing(Route::name))
			.forEach((route) -> this.routesByHost
				.computeIfAbsent(route.host().toLowerCase(Locale.ROOT), (host) -> new HashMap<>())
				.putIfAbsent(route.pathPrefix(), route));
	}

	/**
	 * Returns the indexed table.
	 * @return the table
	 */
	public RoutingTable table() {
		return this.table;
	}

	/**
	 * Finds a route.
	 * @param host value of the Host header, with or without a port
	 * @param path path without its query
	 * @return the route, or empty if none matches
	 */
	public Optional<Route> find(String host, String path) {
		Map<String, Route> routes = this.routesByHost.get(host.toLowerCase(Locale.ROOT));
		if (routes == null) {
			int port = host.lastIndexOf(':');
			return (port > 0) ? find(host.substring(0, port), path) : Optional.empty();
		}
		for (int end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
			Route route = routes.get(path.substring(0, end + 1));
			if (route != null) {
				return Optional.of(route);
			}
		}
		return Optional.empty();
	}

	/**
	 * Chooses one of the services that share a route.
	 * @param route the route
	 * @param draw a number from 0 to 1, the same for the same request
	 * @return name of the service
	 */
	public static String serviceOf(Route route, double draw) {
		List<WeightedService> split = route.split();
		double total = split.stream().mapToDouble(WeightedService::weight).sum();
		double rest = draw * total;
		for (WeightedService share : split) {
			rest -= share.weight();
			if (rest < 0) {
				return share.service();
			}
		}
		return split.get(split.size() - 1).service();
	}

}
