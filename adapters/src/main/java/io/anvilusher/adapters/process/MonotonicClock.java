package io.anvilusher.adapters.process;

/**
 * A clock that never goes back. Its readings mean nothing to other processes.
 */
@FunctionalInterface
public interface MonotonicClock {

	/** The clock of this machine. */
	MonotonicClock SYSTEM = () -> System.nanoTime() / 1_000_000;

	/**
	 * Returns the time.
	 * @return milliseconds since some moment before
	 */
	long nowMs();

}
