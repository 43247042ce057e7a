package io.anvilusher.adapters.process;

import ch.qos.logback.classic.LoggerContext;
import org.slf4j.ILoggerFactory;
import org.slf4j.LoggerFactory;

/**
 * The fields that every log line of a process carries.
 */
public final class LogContext {

	private LogContext() {
	}

	/**
	 * Sets the fields.
	 * @param identity the process
	 */
	public static void set(ProcessIdentity identity) {
		ILoggerFactory factory = LoggerFactory.getILoggerFactory();
		if (factory instanceof LoggerContext context) {
			context.putProperty("process", identity.name());
			context.putProperty("data_centre", identity.dataCentre());
		}
	}

}
