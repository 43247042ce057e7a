package io.anvilusher.gateway.control;

/**
 * Counts the requests that servers began, for the usage reports.
 */
@FunctionalInterface
public interface RunCounter {

	/**
	 * Notes that a server began a request.
	 * @param workspace the workspace that it runs for
	 */
	void onBegun(String workspace);

}
