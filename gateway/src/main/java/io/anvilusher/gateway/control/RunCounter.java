package io.anvilusher.gateway.control;

/**
 * Counts the requests that servers have run, for the usage reports.
 */
@FunctionalInterface
public interface RunCounter {

	/**
	 * Counts a request once a server has evidently started to run it.
	 * @param workspace the workspace that the request belongs to
	 */
	void onRunStarted(String workspace);

}
