package io.anvilusher.model.config;

import java.util.List;
import java.util.Optional;

/**
 * A service that the operator offers.
 *
 * @param name name of the service
 * @param kind whether it is a model service or a plain service
 * @param models names of the models that it serves; empty for plain services
 * @param routes routes of a plain service; empty for model services
 * @param dependsOn names of the services that it needs to work
 * @param targets the latencies that its callers expect
 * @param maxConcurrentPerServer number of requests that one backend server runs at once
 * @param logOutagePolicy what happens to requests that need an idempotency claim while
 * the log accepts no records
 * @param scale limits on its number of backend servers
 * @param engine what its engines must load; empty to leave them unchanged
 */
public record ServiceSpec(String name, ServiceKind kind, List<String> models, List<RouteSpec> routes,
		List<String> dependsOn, LatencyTargets targets, int maxConcurrentPerServer, LogOutagePolicy logOutagePolicy,
		ScaleSpec scale, Optional<EngineSpec> engine) {

	public ServiceSpec {
		models = List.copyOf(models);
		routes = List.copyOf(routes);
		dependsOn = List.copyOf(dependsOn);
	}

	/**
	 * Finds the route of a request. If several routes match, selects the one with the
	 * longest path.
	 * @param method the HTTP method of the request
	 * @param path path of the request without the query
	 * @return the route, or empty if no route matches
	 */
	public Optional<RouteSpec> route(String method, String path) {
		return this.routes.stream()
			.filter((route) -> route.matches(method, path))
			.max((left, right) -> Integer.compare(left.path().length(), right.path().length()));
	}

}
