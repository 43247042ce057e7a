package io.anvilusher.logic.limit;

import java.util.OptionalDouble;

/**
 * What a server's response said about its limit.
 *
 * @param serverId identifies an incarnation of a server
 * @param limitPerS requests per second that the server takes from all gateways together;
 * empty if the limit has ended
 * @param heardAtMs time of the response on the monotonic clock of this gateway
 */
public record LimitNews(String serverId, OptionalDouble limitPerS, long heardAtMs) {

	/**
	 * Creates the news.
	 * @throws IllegalArgumentException if the limit is negative or not finite
	 */
	public LimitNews {
		if (limitPerS.isPresent() && !isValid(limitPerS.getAsDouble())) {
			throw new IllegalArgumentException(
					"limit of server %s is %s, must be finite and not negative".formatted(serverId, limitPerS));
		}
	}

	static boolean isValid(double limitPerS) {
		return Double.isFinite(limitPerS) && limitPerS >= 0;
	}

}
