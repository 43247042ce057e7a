package io.anvilusher.model.routing;

/**
 * Limits on the size of requests from callers and on the time to send them.
 *
 * @param maxHeadBytes largest size of the head of a request, in bytes
 * @param maxBodyBytes largest size of the body of a request, in bytes
 * @param headTimeoutMs time within which the head of a request must arrive, in ms
 * @param idleTimeoutMs time after which a connection without a request is closed, in ms
 */
public record CallerLimits(int maxHeadBytes, long maxBodyBytes, int headTimeoutMs, int idleTimeoutMs) {

	/** The limits until the first routing table arrives. */
	public static final CallerLimits DEFAULT = new CallerLimits(16 * 1024, 4L * 1024 * 1024, 5_000, 60_000);

}
