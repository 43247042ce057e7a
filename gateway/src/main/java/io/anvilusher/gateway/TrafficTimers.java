package io.anvilusher.gateway;

import java.util.concurrent.TimeUnit;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioIoThread;

import io.anvilusher.adapters.process.MonotonicClock;
import io.anvilusher.gateway.placement.Timers;

/**
 * Clock and timers of the traffic thread.
 *
 * @param thread the traffic thread
 * @param clock the monotonic clock
 */
record TrafficTimers(XnioIoThread thread, MonotonicClock clock) implements Timers {

	private static final Logger LOGGER = LoggerFactory.getLogger(TrafficTimers.class);

	@Override
	public long nowMs() {
		return this.clock.nowMs();
	}

	@Override
	public Runnable schedule(long delayMs, Runnable task) {
		return this.thread.executeAfter(() -> {
			try {
				task.run();
			}
			catch (RuntimeException | Error ex) {
				LOGGER.error("A scheduled task failed on the traffic thread; the thread continues", ex);
			}
		}, Math.max(0, delayMs), TimeUnit.MILLISECONDS)::remove;
	}

}
