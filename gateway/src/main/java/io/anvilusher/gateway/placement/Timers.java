package io.anvilusher.gateway.placement;

/**
 * Clock and timers of the traffic thread.
 */
public interface Timers {

	/**
	 * Returns the current time of the monotonic clock.
	 * @return milliseconds
	 */
	long nowMs();

	/**
	 * Runs a task on the traffic thread later. An exception of the task is logged.
	 * @param delayMs delay in ms
	 * @param task the task
	 * @return cancels the task
	 */
	Runnable schedule(long delayMs, Runnable task);

}
