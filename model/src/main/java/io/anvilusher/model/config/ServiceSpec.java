package io.anvilusher.model.config;

import java.util.List;
import java.util.Optional;

/**
 * A service that the operator offers.
 *
 * @param name its name
 * @param kind its kind
 * @param models names of the models that route to it; empty for plain services
 * @param routes routes of a plain service; empty for model services
 * @param dependsOn names of services that it cannot work without
 * @param targets what its callers expect
 * @param maxConcurrentPerServer calls that one backend server runs at once
 * @param whenLogIsOut what happens to calls that need a claim while the log takes none
 * @param scale limits of its fleet
 * @param engine what its engines shall load; empty leaves them as they are
 */
public record ServiceSpec(String name, ServiceKind kind, List<String> models, List<RouteSpec> routes,
		List<String> dependsOn, Targets targets, int maxConcurrentPerServer, LogOutagePolicy whenLogIsOut,
		ScaleSpec scale, Optional<EngineSpec> engine) {

	public ServiceSpec {
		models = List.copyOf(models);
		routes = List.copyOf(routes);
		dependsOn = List.copyOf(dependsOn);
	}

	/**
	 * Finds the route of a call; the longest matching path wins.
	 * @param method the call's method
	 * @param path the call's path, without its query
	 * @return the route, or empty if no route matches
	 */
	public Optional<RouteSpec> route(String method, String path) {
		return this.routes.stream()
			.filter((route) -> route.matches(method, path))
			.max((left, right) -> Integer.compare(left.path().length(), right.path().length()));
	}

}
