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
 * matching path prefix. The routes are indexed by host and prefix, since a routing table
 * has thousands of routes and is searched for each request.
 */
public final class RouteIndex {

	private final RoutingTable table;

	private final Map<String, Map<String, Route>> routesByHost = new HashMap<>();

	/**
	 * Creates the index of a routing table.
	 * @param table the routing table
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
	 * Returns the routing table that is indexed.
	 * @return the routing table
	 */
	public RoutingTable table() {
		return this.table;
	}

	/**
	 * Finds the route with the longest path prefix that matches a request. Only prefixes
	 * that end with a slash match.
	 * @param host value of the Host header, with or without a port
	 * @param path path of the request without the query
	 * @return the route, or empty if none matches
	 */
	public Optional<Route> find(String host, String path) {
		Map<String, Route> routes = routesOfHost(host.toLowerCase(Locale.ROOT));
		for (int end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
			Route route = routes.get(path.substring(0, end + 1));
			if (route != null) {
				return Optional.of(route);
			}
		}
		return Optional.empty();
	}

	private Map<String, Route> routesOfHost(String host) {
		Map<String, Route> routes = this.routesByHost.get(host);
		int port = host.lastIndexOf(':');
		if (routes != null || port < 0) {
			return (routes != null) ? routes : Map.of();
		}
		return this.routesByHost.getOrDefault(host.substring(0, port), Map.of());
	}

	/**
	 * Selects one of the services of a route in proportion to their weights.
	 * @param route the route
	 * @param draw a random number from 0 (inclusive) to 1 (exclusive)
	 * @return name of the service
	 */
	public static String selectService(Route route, double draw) {
		List<WeightedService> split = route.split();
		double total = split.stream().mapToDouble(WeightedService::weight).sum();
		double remainingWeight = draw * total;
		for (WeightedService weighted : split) {
			remainingWeight -= weighted.weight();
			if (remainingWeight < 0) {
				return weighted.service();
			}
		}
		return split.get(split.size() - 1).service();
	}

}
