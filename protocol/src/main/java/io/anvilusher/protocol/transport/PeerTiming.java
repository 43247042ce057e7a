package io.anvilusher.protocol.transport;

/**
 * Timeouts and reconnect delays of a connection, in milliseconds.
 *
 * @param keepAliveMs time without a frame sent after which an empty frame is sent
 * @param readTimeoutMs time without a frame received after which the connection is closed
 * @param connectTimeoutMs maximum time to open a connection
 * @param reconnectMinMs delay before the first attempt to reconnect
 * @param reconnectMaxMs maximum delay between two attempts to reconnect
 */
public record PeerTiming(long keepAliveMs, long readTimeoutMs, int connectTimeoutMs, long reconnectMinMs,
		long reconnectMaxMs) {

	/** Values for processes with a network latency of a few milliseconds. */
	public static final PeerTiming DEFAULT = new PeerTiming(2500, 6000, 1000, 50, 1000);

	public PeerTiming {
		if (readTimeoutMs <= 2 * keepAliveMs) {
			throw new IllegalArgumentException(
					"readTimeoutMs must exceed twice keepAliveMs to tolerate a lost keep-alive frame: "
							+ readTimeoutMs);
		}
	}

}
