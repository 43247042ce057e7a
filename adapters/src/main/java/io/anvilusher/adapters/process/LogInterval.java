package io.anvilusher.adapters.process;

/**
 * Bounds the number of log lines about one kind of event. Not thread-safe.
 */
public final class LogInterval {

	private static final long INTERVAL_MS = 10_000;

	private boolean used;

	private long nextAtMs;

	/**
	 * Returns whether a line may be written, and counts it.
	 * @param nowMs the current time, by the monotonic clock
	 * @return whether the last line is at least 10 s old
	 */
	public boolean tryLog(long nowMs) {
		if (this.used && nowMs < this.nextAtMs) {
			return false;
		}
		this.used = true;
		this.nextAtMs = nowMs + INTERVAL_MS;
		return true;
	}

}
