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

	/**
	 * Runs a task once, as soon as the thread is free.
	 * @param task the task
	 */
	default void execute(Runnable task) {
		after(0, task);
	}

	/**
	 * Runs a task repeatedly, for the first time after one period.
	 * @param periodMs time from the end of one run to the start of the next, in ms
	 * @param task the task
	 */
	default void every(long periodMs, Runnable task) {
		after(periodMs, () -> {
			task.run();
			every(periodMs, task);
		});
	}

}
