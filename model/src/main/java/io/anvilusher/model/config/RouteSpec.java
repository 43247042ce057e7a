package io.anvilusher.model.config;

/**
 * A route of a plain service.
 *
 * @param method the HTTP method
 * @param path path prefix, beginning with a slash
 * @param repeatable whether a call may be sent more than once
 * @param open whether a call needs no key
 */
public record RouteSpec(String method, String path, boolean repeatable, boolean open) {

	/**
	 * Tells whether a call takes this route.
	 * @param callMethod the call's method
	 * @param callPath the call's path, without its query
	 * @return whether it does
	 */
	public boolean matches(String callMethod, String callPath) {
		return this.method.equals(callMethod) && isBelow(callPath);
	}

	private boolean isBelow(String callPath) {
		return callPath.equals(this.path) || callPath.startsWith(this.path.endsWith("/") ? this.path : this.path + "/");
	}

}
