package io.anvilusher.adapters.process;

import ch.qos.logback.classic.LoggerContext;
import org.slf4j.ILoggerFactory;
import org.slf4j.LoggerFactory;

/**
 * Fields that are added to every log line of the process.
 */
public final class LogContext {

	private LogContext() {
	}

	/**
	 * Sets the fields {@code process} and {@code data_centre}.
	 * @param identity identity of this process
	 */
	public static void set(ProcessIdentity identity) {
		ILoggerFactory factory = LoggerFactory.getILoggerFactory();
		if (factory instanceof LoggerContext context) {
			context.putProperty("process", identity.name());
			context.putProperty("data_centre", identity.dataCentre());
		}
	}

}
