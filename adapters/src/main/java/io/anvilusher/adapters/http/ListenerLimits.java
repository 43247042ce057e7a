package io.anvilusher.adapters.http;

/**
 * Limits on the clients of one listener.
 *
 * @param listener name of the listener in metrics and log lines
 * @param maxConnections maximum number of open connections
 * @param maxHeadMemoryBytes maximum memory of the request heads of all connections, in
 * bytes
 * @param request limits on a single request
 * @param headTimeoutMs maximum time for a request head to arrive, in ms
 * @param idleTimeoutMs time without a request after which a connection is closed, in ms
 * @param stalledTimeoutMs time without progress of a request body or a response after
 * which a connection is closed, in ms
 */
public record ListenerLimits(String listener, int maxConnections, long maxHeadMemoryBytes, RequestLimits request,
		int headTimeoutMs, int idleTimeoutMs, int stalledTimeoutMs) {

	/** More than three times the documented 3,000 ms for a head, for busy machines. */
	public static final int DEFAULT_HEAD_TIMEOUT_MS = 10_000;

	/** A third more than the documented idle limit of 15,000 ms. */
	public static final int DEFAULT_STALLED_TIMEOUT_MS = 20_000;

	/** Share of the heap for the request heads of callers. */
	public static final double CALLER_HEAD_HEAP_SHARE = 0.15;

	private static final double CHECK_HEAD_HEAP_SHARE = 0.02;

	/** Idle timeout of the connections of load balancers and monitoring systems. */
	private static final int CHECK_IDLE_TIMEOUT_MS = 60_000;

	/** Checks have no body. */
	private static final long CHECK_MAX_BODY_BYTES = 0;

	/**
	 * Checks the limits.
	 * @throws IllegalArgumentException if a limit is not positive
	 */
	public ListenerLimits {
		if (maxConnections < 1 || maxHeadMemoryBytes < 1 || headTimeoutMs < 1 || idleTimeoutMs < 1
				|| stalledTimeoutMs < 1) {
			throw new IllegalArgumentException("The limits of listener " + listener + " must be positive");
		}
	}

	/**
	 * Returns the limits of a listener for health checks and metrics.
	 * @param listener name of the listener
	 * @param maxConnections maximum number of open connections
	 * @return the limits
	 */
	public static ListenerLimits ofChecks(String listener, int maxConnections) {
		return new ListenerLimits(listener, maxConnections,
				(long) (Runtime.getRuntime().maxMemory() * CHECK_HEAD_HEAP_SHARE),
				new RequestLimits(RequestLimits.DEFAULT_HEAD_BYTES, RequestLimits.DEFAULT_HEAD_FIELDS,
						RequestLimits.DEFAULT_QUERY_PARAMETERS, CHECK_MAX_BODY_BYTES, RequestLimits.DEFAULT_PIPELINED),
				DEFAULT_HEAD_TIMEOUT_MS, CHECK_IDLE_TIMEOUT_MS, DEFAULT_STALLED_TIMEOUT_MS);
	}

	/**
	 * Limits on a single request.
	 *
	 * @param maxHeadBytes maximum size of the head, in bytes
	 * @param maxHeadFields maximum number of header fields
	 * @param maxQueryParameters maximum number of query parameters
	 * @param maxBodyBytes maximum size of the body, in bytes; 0 if the connection of a
	 * request with a body is closed
	 * @param maxPipelined maximum number of requests of a connection within a second that
	 * arrive before the response to the previous one is complete
	 */
	public record RequestLimits(int maxHeadBytes, int maxHeadFields, int maxQueryParameters, long maxBodyBytes,
			int maxPipelined) {

		/** Leaves room for what proxies add to a head of 16,384 bytes. */
		public static final int DEFAULT_HEAD_BYTES = 24 * 1024;

		/** A client that waits for each response sends none. */
		public static final int DEFAULT_PIPELINED = 8;

		/** Default maximum number of header fields; it is Undertow's default. */
		public static final int DEFAULT_HEAD_FIELDS = 200;

		/** Default maximum number of query parameters; it is Undertow's default. */
		public static final int DEFAULT_QUERY_PARAMETERS = 1_000;

	}

}
