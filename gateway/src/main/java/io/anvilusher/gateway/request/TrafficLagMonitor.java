package io.anvilusher.gateway.request;

import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

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

	/** Shorter delays are small compared with the times that are inferred. */
	private static final long MIN_LAG_MS = 50;

	/** A delay is logged from this length on. */
	private static final long LOGGED_LAG_MS = 200;

	/** At most one log line is written in this time. */
	private static final long LOG_INTERVAL_MS = 1_000;

	private final XnioIoThread thread;

	private final MonotonicClock clock;

	private final LongConsumer onLag;

	private volatile long lagMs;

	private long dueAtMs;

	private long longestLagMs;

	private long nextLogAtMs;

	/**
	 * Creates a monitor; it measures only after {@link #start()}.
	 * @param thread the traffic thread
	 * @param clock the monotonic clock
	 * @param meters meters in which the lag is published as a gauge
	 * @param onLag called on the traffic thread with each delay that was measured, in ms
	 */
	public TrafficLagMonitor(XnioIoThread thread, MonotonicClock clock, Meters meters, LongConsumer onLag) {
		this.thread = thread;
		this.clock = clock;
		this.onLag = onLag;
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
		try {
			record(this.clock.nowMs());
		}
		finally {
			schedule();
		}
	}

	private void record(long nowMs) {
		this.lagMs = Math.max(0, nowMs - this.dueAtMs);
		if (this.lagMs >= MIN_LAG_MS) {
			this.onLag.accept(this.lagMs);
		}
		this.longestLagMs = Math.max(this.longestLagMs, this.lagMs);
		if (this.longestLagMs >= LOGGED_LAG_MS && nowMs >= this.nextLogAtMs) {
			this.nextLogAtMs = nowMs + LOG_INTERVAL_MS;
			LOGGER.atWarn()
				.addKeyValue("lag_ms", this.lagMs)
				.addKeyValue("longest_lag_ms", this.longestLagMs)
				.log("The traffic thread lags; requests are delayed by as much");
			this.longestLagMs = 0;
		}
	}

	/**
	 * Returns how late the traffic thread is now. Called on that thread.
	 * @return milliseconds by which its next task is overdue; 0 if it is not due yet
	 */
	public long currentLagMs() {
		return (this.dueAtMs > 0) ? Math.max(0, this.clock.nowMs() - this.dueAtMs) : 0;
	}

	private double lagMs() {
		return this.lagMs;
	}

}
