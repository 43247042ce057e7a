package io.anvilusher.gateway.control;

import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * Client of the platform's interface for usage reports.
 */
public interface UsageReportClient {

	/**
	 * Reports the usage of a window.
	 * @param holder name of the reporting process
	 * @param fencingToken fencing token under which it holds the duties
	 * @param window number of the usage window
	 * @param counts number of requests run, by workspace
	 * @return the outcome; completes normally in any case
	 */
	CompletableFuture<Outcome> report(String holder, long fencingToken, long window, Map<String, Long> counts);

	/**
	 * The outcome of a report.
	 */
	enum Outcome {

		/** The platform accepted the report. */
		ACCEPTED,

		/** The platform has seen a higher fencing token. */
		FENCED,

		/** It is unknown whether the platform received the report. */
		UNKNOWN

	}

}
