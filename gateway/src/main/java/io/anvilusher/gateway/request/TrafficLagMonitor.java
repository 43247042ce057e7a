package io.anvilusher.gateway.request;

import java.util.concurrent.TimeUnit;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioIoThread;

import io.anvilusher.adapters.metrics.Meters;
import io.anvilusher.adapters.process.MonotonicClock;

/**
 * Measures how late the traffic thread runs its tasks, by a task that it runs at a fixed
 * interval. Used from the traffic thread only, except for the gauge.
 */
public final class TrafficLagMonitor {

	private static final Logger LOGGER = LoggerFactory.getLogger(TrafficLagMonitor.class);

	private static final long INTERVAL_MS = 50;

	/** A delay is logged from this length on. */
	private static final long LOGGED_LAG_MS = 200;

	/** At most one log line is written in this time. */
	private static final long LOG_INTERVAL_MS = 1_000;

	private final XnioIoThread thread;

	private final MonotonicClock clock;

	private volatile long lagMs;

	private long dueAtMs;

	private long longestLagMs;

	private long nextLogAtMs;

	/**
	 * Creates a monitor; it measures only after {@link #start()}.
	 * @param thread the traffic thread
	 * @param clock the monotonic clock
	 * @param meters meters in which the lag is published as a gauge
	 */
	public TrafficLagMonitor(XnioIoThread thread, MonotonicClock clock, Meters meters) {
		this.thread = thread;
		this.clock = clock;
		meters.gauge("anvilusher.traffic.lag.ms", this, TrafficLagMonitor::lagMs);
	}

	/**
	 * Starts to measure.
	 */
	public void start() {
		this.thread.execute(this::schedule);
	}

	private void schedule() {
		this.dueAtMs = this.clock.nowMs() + INTERVAL_MS;
		this.thread.executeAfter(this::measure, INTERVAL_MS, TimeUnit.MILLISECONDS);
	}

	private void measure() {
		long nowMs = this.clock.nowMs();
		this.lagMs = Math.max(0, nowMs - this.dueAtMs);
		this.longestLagMs = Math.max(this.longestLagMs, this.lagMs);
		if (this.longestLagMs >= LOGGED_LAG_MS && nowMs >= this.nextLogAtMs) {
			this.nextLogAtMs = nowMs + LOG_INTERVAL_MS;
			LOGGER.atWarn()
				.addKeyValue("lag_ms", this.lagMs)
				.addKeyValue("longest_lag_ms", this.longestLagMs)
				.log("The traffic thread lags; requests are delayed by as much");
			this.longestLagMs = 0;
		}
		schedule();
	}

	/**
	 * Returns the newest measured delay.
	 * @return milliseconds by which the last task ran too late
	 */
	public long lagMs() {
		return this.lagMs;
	}

}
