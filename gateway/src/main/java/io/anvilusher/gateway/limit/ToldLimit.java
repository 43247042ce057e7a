package io.anvilusher.gateway.limit;

import java.util.OptionalDouble;

/**
 * What a gateway tells the others about the limit of a server.
 *
 * @param serverId identifies an incarnation of the server
 * @param limitPerS the limit in requests per second; empty if it has ended
 * @param ageMs time since the response that named it, in ms
 * @param run run of the gateway's process
 * @param sentAtMs time of sending on the monotonic clock of the gateway
 */
record ToldLimit(String serverId, OptionalDouble limitPerS, long ageMs, long run, long sentAtMs) {

	/**
	 * Creates the message.
	 * @throws IllegalArgumentException if the limit is negative or not finite, or the age
	 * is negative
	 */
	ToldLimit {
		boolean valid = limitPerS.isEmpty()
				|| (limitPerS.getAsDouble() >= 0 && Double.isFinite(limitPerS.getAsDouble()));
		if (!valid || ageMs < 0) {
			throw new IllegalArgumentException(
					"limit of server %s is %s, %d ms old; both must be finite and not negative".formatted(serverId,
							limitPerS, ageMs));
		}
	}

}
