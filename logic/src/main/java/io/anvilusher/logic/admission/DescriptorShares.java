package io.anvilusher.logic.admission;

/**
 * Divides the descriptors of a process between its listeners, its connections to servers
 * and the store, and files.
 *
 * @param callers maximum number of connections of callers
 * @param readiness maximum number of connections to the readiness check
 * @param metrics maximum number of connections to the metrics
 */
public record DescriptorShares(int callers, int readiness, int metrics) {

	/** Fewest descriptors for sockets with which each share is useful. */
	public static final int MIN_SOCKETS = 64;

	/**
	 * Maximum number of connections to the readiness check and to the metrics. A load
	 * balancer and a few monitoring systems need one each.
	 */
	private static final int MAX_CHECKS = 64;

	/** Share of the sockets for the readiness check, and the same for the metrics. */
	private static final double CHECKS_SHARE = 0.1;

	/**
	 * Descriptors for each connection of a caller. A request needs at most one connection
	 * to a server at a time, and a quarter more connections may wait to be handled.
	 */
	private static final double DESCRIPTORS_PER_CALLER = 2.25;

	/** Fewest connections of a listener that may wait to be handled. */
	private static final int MIN_WAITING = 4;

	/**
	 * Divides the descriptors of a process.
	 * @param maxDescriptors maximum number of open descriptors
	 * @param fileDescriptors descriptors that are kept for files
	 * @return the shares
	 * @throws IllegalArgumentException if fewer than {@link #MIN_SOCKETS} are left for
	 * sockets
	 */
	public static DescriptorShares of(int maxDescriptors, int fileDescriptors) {
		int sockets = maxDescriptors - fileDescriptors;
		if (sockets < MIN_SOCKETS) {
			throw new IllegalArgumentException("Of " + maxDescriptors + " descriptors, " + fileDescriptors
					+ " are kept for files, which leaves fewer than " + MIN_SOCKETS + " for sockets");
		}
		int checks = Math.min(MAX_CHECKS, (int) (sockets * CHECKS_SHARE));
		int left = sockets - 2 * (checks + waiting(checks));
		return new DescriptorShares((int) (left / DESCRIPTORS_PER_CALLER), checks, checks);
	}

	/**
	 * Returns how many accepted connections of a listener may wait until its thread has
	 * closed others for them.
	 * @param maxConnections maximum number of connections of the listener
	 * @return maximum number of waiting connections
	 */
	public static int waiting(int maxConnections) {
		return Math.max(MIN_WAITING, maxConnections / 4);
	}

}
