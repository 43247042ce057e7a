package io.anvilusher.model.config;

/**
 * A route of a plain service.
 *
 * @param method the HTTP method of the requests
 * @param path path that begins with a slash; all paths below it match as well
 * @param repeatable whether a request may run more than once and so may be retried
 * @param open whether requests need no workspace key
 */
public record RouteSpec(String method, String path, boolean repeatable, boolean open) {

	/**
	 * Returns whether a request matches this route.
	 * @param requestMethod the HTTP method of the request
	 * @param requestPath path of the request without the query
	 * @return whether method and path match
	 */
	public boolean matches(String requestMethod, String requestPath) {
		return this.method.equals(requestMethod) && hasPathPrefix(requestPath);
	}

	private boolean hasPathPrefix(String requestPath) {
		return requestPath.equals(this.path)
				|| requestPath.startsWith(this.path.endsWith("/") ? this.path : this.path + "/");
	}

}
