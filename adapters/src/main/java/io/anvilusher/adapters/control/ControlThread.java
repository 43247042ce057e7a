package io.anvilusher.adapters.control;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.anvilusher.adapters.process.LogOutput;

/**
 * The single thread on which the control state is changed.
 */
public final class ControlThread implements AutoCloseable {

	private static final Logger LOGGER = LoggerFactory.getLogger(ControlThread.class);

	private final ScheduledExecutorService executor = new ScheduledThreadPoolExecutor(1, (task) -> {
		Thread thread = new Thread(task, "control");
		thread.setDaemon(true);
		return thread;
	}, new ThreadPoolExecutor.DiscardPolicy());

	/**
	 * Runs a task once, as soon as the thread is free. After {@link #close()} the task is
	 * dropped.
	 * @param task the task
	 */
	public void run(Runnable task) {
		this.executor.execute(haltOnFailure(task));
	}

	/**
	 * Runs a task once after a delay. After {@link #close()} the task is dropped.
	 * @param delayMs delay in ms
	 * @param task the task
	 */
	public void after(long delayMs, Runnable task) {
		this.executor.schedule(haltOnFailure(task), delayMs, TimeUnit.MILLISECONDS);
	}

	/**
	 * Runs a task repeatedly, for the first time after one period.
	 * @param periodMs time from the end of one run to the start of the next, in ms
	 * @param task the task
	 */
	public void every(long periodMs, Runnable task) {
		this.executor.scheduleWithFixedDelay(haltOnFailure(task), periodMs, periodMs, TimeUnit.MILLISECONDS);
	}

	// An unexpected exception may leave the control state inconsistent, so the process is
	// halted before it can act on that state.
	private static Runnable haltOnFailure(Runnable task) {
		return () -> {
			try {
				task.run();
			}
			catch (RuntimeException | Error ex) {
				LOGGER.error("A task on the control thread failed; halting the process", ex);
				LogOutput.stop();
				Runtime.getRuntime().halt(70);
			}
		};
	}

	@Override
	public void close() {
		this.executor.shutdownNow();
	}

}
