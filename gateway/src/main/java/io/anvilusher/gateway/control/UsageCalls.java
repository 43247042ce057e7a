package io.anvilusher.gateway.control;

import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's interface for usage reports.
 */
public interface UsageCalls {

	/**
	 * Reports a window.
	 * @param holder name of the process that reports
	 * @param fencingToken fencing token of its duty
	 * @param window number of the window
	 * @param counts begun requests by workspace
	 * @return the outcome; never fails
	 */
	CompletableFuture<Outcome> report(String holder, long fencingToken, long window, Map<String, Long> counts);

	/**
	 * How a report ended.
	 */
	enum Outcome {

		/** The platform has the report. */
		ACCEPTED,

		/** The platform has seen a higher fencing token. */
		FENCED,

		/** It is unknown whether the platform has the report. */
		UNKNOWN

	}

}
