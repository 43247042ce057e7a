package io.anvilusher.adapters.process;

/**
 * A clock that never goes backwards. Its readings cannot be compared between processes.
 */
@FunctionalInterface
public interface MonotonicClock {

	/** Clock that reads {@link System#nanoTime()}. */
	MonotonicClock SYSTEM = () -> System.nanoTime() / 1_000_000;

	/**
	 * Returns the current time.
	 * @return milliseconds since an arbitrary origin
	 */
	long nowMs();

}
