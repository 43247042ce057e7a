package io.anvilusher.gateway.control;

/**
 * Runs tasks on the control thread.
 */
@FunctionalInterface
public interface ControlTasks {

	/**
	 * Runs a task once.
	 * @param delayMs delay in ms; 0 to run it as soon as the thread is free
	 * @param task the task
	 */
	void after(long delayMs, Runnable task);

}
