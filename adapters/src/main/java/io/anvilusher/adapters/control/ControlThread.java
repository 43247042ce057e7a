package io.anvilusher.adapters.control;

import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The one thread that changes control state.
 */
public final class ControlThread implements AutoCloseable {

	private static final Logger LOGGER = LoggerFactory.getLogger(ControlThread.class);

	private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor((task) -> {
		Thread thread = new Thread(task, "control");
		thread.setDaemon(true);
		return thread;
	});

	/**
	 * Runs a task soon.
	 * @param task the task
	 */
	public void run(Runnable task) {
		if (!this.executor.isShutdown()) {
			this.executor.execute(guarded(task));
		}
	}

	/**
	 * Runs a task once, later.
	 * @param delayMs the delay
	 * @param task the task
	 */
	public void after(long delayMs, Runnable task) {
		if (!this.executor.isShutdown()) {
			this.executor.schedule(guarded(task), delayMs, TimeUnit.MILLISECONDS);
		}
	}

	/**
	 * Runs a task again and again.
	 * @param periodMs pause between two runs
	 * @param task the task
	 */
	public void every(long periodMs, Runnable task) {
		this.executor.scheduleWithFixedDelay(guarded(task), periodMs, periodMs, TimeUnit.MILLISECONDS);
	}

	// A broken invariant stops the process: a state that is wrong must not be acted on.
	private static Runnable guarded(Runnable task) {
		return () -> {
			try {
				task.run();
			}
			catch (RuntimeException | Error ex) {
				LOGGER.error("A task of the control thread failed; the process stops", ex);
				Runtime.getRuntime().halt(70);
			}
		};
	}

	@Override
	public void close() {
		this.executor.shutdownNow();
	}

}
