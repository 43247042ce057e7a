package io.anvilusher.gateway.request;

import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.anvilusher.adapters.metrics.DirectMemory;
import io.anvilusher.gateway.control.TableFollower.ControlContext;

/**
 * Publishes how much direct memory the process uses, and warns before it is used up. The
 * management interface of the JVM takes long to load, so it is not used right after the
 * start, when the processor time is needed for requests.
 */
public final class DirectMemoryMonitor {

	private static final Logger LOGGER = LoggerFactory.getLogger(DirectMemoryMonitor.class);

	/** Also the shortest time between two log lines. */
	private static final long INTERVAL_MS = 10_000;

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
		this.context.meters().gauge("anvilusher.memory.direct.bytes", this, (monitor) -> monitor.memory().usedBytes());
		this.context.meters()
			.gauge("anvilusher.memory.direct.max.bytes", this, (monitor) -> monitor.memory().maxBytes());
		this.context.thread().every(INTERVAL_MS, () -> check(memory().usedBytes(), memory().maxBytes()));
	}

	private synchronized DirectMemory memory() {
		DirectMemory loaded = (this.memory != null) ? this.memory : new DirectMemory();
		this.memory = loaded;
		return loaded;
	}

	void check(long usedBytes, long maxBytes) {
		long nowMs = this.context.clock().nowMs();
		if (usedBytes >= maxBytes * LOGGED_SHARE && nowMs >= this.nextLogAtMs) {
			this.nextLogAtMs = nowMs + INTERVAL_MS;
			LOGGER.atWarn()
				.addKeyValue("used_bytes", usedBytes)
				.addKeyValue("max_bytes", maxBytes)
				.log("Little direct memory is left; if it is used up, connections that need more of it fail");
		}
	}

}
