package io.anvilusher.adapters.process;

import java.util.concurrent.CountDownLatch;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Waits for SIGTERM or SIGINT and drains the process before it exits with code 0.
 */
public final class GracefulShutdown {

	private static final Logger LOGGER = LoggerFactory.getLogger(GracefulShutdown.class);

	private GracefulShutdown() {
	}

	/**
	 * Blocks until the process receives a signal to stop, drains it and ends it.
	 * @param drain finishes the active work and returns when none is left
	 */
	public static void await(Runnable drain) {
		CountDownLatch stopRequested = new CountDownLatch(1);
		CountDownLatch drained = new CountDownLatch(1);
		Runtime.getRuntime().addShutdownHook(new Thread(() -> {
			stopRequested.countDown();
			awaitQuietly(drained);
			// A hook of the logging library would stop it as soon as the signal arrives.
			LogOutput.stop();
			// If the hook returned, the process would end with the exit code of the
			// signal.
			Runtime.getRuntime().halt(0);
		}, "shutdown"));
		awaitQuietly(stopRequested);
		LOGGER.info("Asked to stop; finishing the work in progress");
		try {
			drain.run();
			LOGGER.info("Stopped");
		}
		finally {
			drained.countDown();
		}
	}

	private static void awaitQuietly(CountDownLatch latch) {
		try {
			latch.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
