package io.anvilusher.model.routing;

/**
 * What a caller may send, and how long it may take.
 *
 * @param maxHeadBytes size of a request's head
 * @param maxBodyBytes size of a request's body
 * @param headTimeoutMs time for a request's head to arrive
 * @param idleTimeoutMs time that a connection may stay without a request
 */
public record CallerLimits(int maxHeadBytes, long maxBodyBytes, int headTimeoutMs, int idleTimeoutMs) {

	/** Limits in force before the first routing table arrives. */
	public static final CallerLimits DEFAULT = new CallerLimits(16 * 1024, 4L * 1024 * 1024, 5_000, 60_000);

}
