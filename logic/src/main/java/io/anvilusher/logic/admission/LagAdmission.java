package io.anvilusher.logic.admission;

/**
 * Decides whether a process accepts a request, by how far its traffic thread lags. It is
 * designed for a gateway that is sent several times the load that it has processor time
 * for, as when all others restart. Without a limit, all requests would wait until the
 * callers have gone, and responses that arrived long ago would look like slow servers. As
 * the lag grows during each pass over the connections with pending data, the first
 * requests of each pass are accepted and the rest are refused, which costs less.
 */
public final class LagAdmission {

	/** Lag from which on new requests are refused. */
	static final long MAX_LAG_MS = 100;

	/**
	 * Lag from which on streams that their callers take up are refused as well. They are
	 * few, and what was served of them is lost with them.
	 */
	static final long MAX_LAG_OF_TAKE_UP_MS = 1_000;

	/** Shortest time after which a refused caller should return: a few passes. */
	static final long MIN_RETRY_AFTER_MS = 150;

	/** Longest time after which a refused caller should return. */
	static final long MAX_RETRY_AFTER_MS = 1_000;

	private LagAdmission() {
	}

	/**
	 * Returns whether a request is accepted.
	 * @param lagMs time by which the traffic thread is late
	 * @param takesUpStream whether the caller has the beginning of the stream already
	 * @return whether the request is accepted
	 */
	public static boolean accepts(long lagMs, boolean takesUpStream) {
		return lagMs < (takesUpStream ? MAX_LAG_OF_TAKE_UP_MS : MAX_LAG_MS);
	}

	/**
	 * Returns when a caller that is refused now should return.
	 * @param lagMs time by which the traffic thread is late
	 * @param draw a random number from 0 to 1 that spreads the callers
	 * @return milliseconds from now
	 */
	public static long retryAfterMs(long lagMs, double draw) {
		return Math.min(MAX_RETRY_AFTER_MS, (long) ((MIN_RETRY_AFTER_MS + lagMs) * (1 + draw)));
	}

}
