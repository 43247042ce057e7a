package io.anvilusher.gateway.request;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import org.slf4j.LoggerFactory;
import org.testng.annotations.Test;

import io.anvilusher.adapters.control.ControlThread;
import io.anvilusher.adapters.metrics.Meters;
import io.anvilusher.gateway.control.TableFollower.ControlContext;

import static org.testng.Assert.assertEquals;

/**
 * Tests {@link DirectMemoryMonitor}.
 */
public class DirectMemoryMonitorTests {

	private long nowMs;

	/**
	 * Guards against direct memory that runs out without a line, or with one a second.
	 */
	@Test
	public void littleDirectMemoryIsLoggedOnceInAWhile() {
		ListAppender<ILoggingEvent> lines = new ListAppender<>();
		lines.start();
		Logger logger = (Logger) LoggerFactory.getLogger(DirectMemoryMonitor.class);
		logger.addAppender(lines);
		try (ControlThread thread = new ControlThread()) {
			DirectMemoryMonitor monitor = new DirectMemoryMonitor(
					new ControlContext(thread, () -> this.nowMs, new Meters()));
			monitor.check(74, 100);
			assertEquals(lines.list.size(), 0);
			monitor.check(75, 100);
			assertEquals(lines.list.size(), 1);
			this.nowMs += 9_000;
			monitor.check(99, 100);
			assertEquals(lines.list.size(), 1);
			this.nowMs += 1_000;
			monitor.check(99, 100);
			assertEquals(lines.list.size(), 2);
		}
		finally {
			logger.detachAppender(lines);
		}
	}

}
