package io.anvilusher.gateway.request;

import java.util.List;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the steps that end a request after an unexpected exception.
 */
public final class UnexpectedExceptions {

	private static final Logger LOGGER = LoggerFactory.getLogger(UnexpectedExceptions.class);

	private UnexpectedExceptions() {
	}

	/**
	 * Runs all steps in order, also those after a step that throws. What is thrown is
	 * logged.
	 * @param steps the steps
	 */
	public static void runAll(Runnable... steps) {
		List.of(steps).forEach((step) -> {
			try {
				step.run();
			}
			catch (RuntimeException | Error ex) {
				LOGGER.error("A step that ends a request failed; the other steps are still run", ex);
			}
		});
	}

}
