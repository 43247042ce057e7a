package io.anvilusher.protocol.transport;

/**
 * Times of a connection.
 *
 * @param keepAliveMs silence after which an empty frame is sent
 * @param readTimeoutMs silence after which the connection counts as lost
 * @param connectTimeoutMs longest time to open a connection
 * @param reconnectMinMs pause before the first try to open a lost connection again
 * @param reconnectMaxMs longest pause between two tries
 */
public record PeerTiming(long keepAliveMs, long readTimeoutMs, int connectTimeoutMs, long reconnectMinMs,
		long reconnectMaxMs) {

	/** Times that suit processes a few milliseconds apart. */
	public static final PeerTiming DEFAULT = new PeerTiming(2500, 6000, 1000, 50, 1000);

	public PeerTiming {
		if (readTimeoutMs <= 2 * keepAliveMs) {
			throw new IllegalArgumentException("A connection outlasts the loss of one keep-alive frame");
		}
	}

}
