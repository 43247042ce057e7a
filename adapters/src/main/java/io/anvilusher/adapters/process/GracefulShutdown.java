package io.anvilusher.adapters.process;

import java.util.concurrent.CountDownLatch;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Waits for SIGTERM or SIGINT and then for the process to finish its work. The process
 * ends with exit code 0 once the work is done.
 */
public final class GracefulShutdown {

	private static final Logger LOGGER = LoggerFactory.getLogger(GracefulShutdown.class);

	private GracefulShutdown() {
	}

	/**
	 * Blocks until the process is asked to stop, runs the drain and ends the process.
	 * @param drain finishes the work; returns when none is left
	 */
	public static void await(Runnable drain) {
		CountDownLatch stop = new CountDownLatch(1);
		CountDownLatch drained = new CountDownLatch(1);
		Runtime.getRuntime().addShutdownHook(new Thread(() -> {
			stop.countDown();
			awaitQuietly(drained);
			// A hook that returned would end the process with the signal's exit code.
			Runtime.getRuntime().halt(0);
		}, "shutdown"));
		awaitQuietly(stop);
		LOGGER.info("Asked to stop; finishing the work in hand");
		drain.run();
		LOGGER.info("Stopped");
		drained.countDown();
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
