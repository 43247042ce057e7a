package io.anvilusher.gateway.request;

import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.anvilusher.adapters.metrics.DirectMemory;
import io.anvilusher.adapters.metrics.Meters;
import io.anvilusher.gateway.control.TableFollower.ControlContext;

/**
 * Publishes how much direct memory the process uses, and warns before it is used up. Used
 * from the control thread only, except for the gauges.
 */
public final class DirectMemoryMonitor {

	private static final Logger LOGGER = LoggerFactory.getLogger(DirectMemoryMonitor.class);

	private static final long INTERVAL_MS = 1_000;

	/** At most one log line is written in this time. */
	private static final long LOG_INTERVAL_MS = 10_000;

	/** Share of the direct memory in use from which on a line is logged. */
	private static final double LOGGED_SHARE = 0.75;

	private final ControlContext context;

	private @Nullable DirectMemory memory;

	private long nextLogAtMs;

	/**
	 * Creates a monitor; it does nothing before {@link #start()}.
	 * @param context the control thread, the clock and the meters
	 */
	public DirectMemoryMonitor(ControlContext context) {
		this.context = context;
	}

	/**
	 * Starts to check the direct memory at a fixed interval.
	 */
	public void start() {
		this.context.thread().every(INTERVAL_MS, this::check);
	}

	private void check() {
		DirectMemory current = (this.memory != null) ? this.memory : register();
		check(current.usedBytes(), current.maxBytes());
	}

	void check(long usedBytes, long maxBytes) {
		long nowMs = this.context.clock().nowMs();
		if (usedBytes >= maxBytes * LOGGED_SHARE && nowMs >= this.nextLogAtMs) {
			this.nextLogAtMs = nowMs + LOG_INTERVAL_MS;
			LOGGER.atWarn()
				.addKeyValue("used_bytes", usedBytes)
				.addKeyValue("max_bytes", maxBytes)
				.log("Little direct memory is left; if it is used up, connections that need more of it fail");
		}
	}

	private DirectMemory register() {
		DirectMemory created = new DirectMemory();
		Meters meters = this.context.meters();
		meters.gauge("anvilusher.memory.direct.bytes", created, DirectMemory::usedBytes);
		meters.gauge("anvilusher.memory.direct.max.bytes", created, DirectMemory::maxBytes);
		this.memory = created;
		return created;
	}

}
