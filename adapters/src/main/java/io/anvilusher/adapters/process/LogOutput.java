package io.anvilusher.adapters.process;

import ch.qos.logback.classic.LoggerContext;
import org.slf4j.LoggerFactory;

/**
 * The log output of the process, which is written by a thread of its own.
 */
public final class LogOutput {

	private LogOutput() {
	}

	/**
	 * Writes the log lines that are still queued and stops logging. To be called right
	 * before the process ends; otherwise the lines that say why it ends may be lost. A
	 * second caller waits for the first.
	 */
	public static synchronized void stop() {
		if (LoggerFactory.getILoggerFactory() instanceof LoggerContext context) {
			context.stop();
		}
	}

}
