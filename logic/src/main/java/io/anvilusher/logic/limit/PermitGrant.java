package io.anvilusher.logic.limit;

/**
 * Message from the keeper of a server to a gateway. Each wish is answered at once. If
 * that answer brings no permits, a second one with permits can follow.
 *
 * @param serverId identifies an incarnation of a server
 * @param keeperRun run of the keeper's process, positive
 * @param gatewayRun run of the gateway that sent the wish
 * @param answeredSequence sequence of the wish that it answers
 * @param permits number of permits, each for one request; valid for
 * {@link PermitHolder#PERMIT_MS} from the time at which the wish was sent
 * @param supporters number of registered gateways that support the keeper
 * @param nextPermitInMs estimate of the time until the next permit of this gateway in ms
 */
public record PermitGrant(String serverId, long keeperRun, long gatewayRun, long answeredSequence, int permits,
		int supporters, long nextPermitInMs) {

	/**
	 * Creates a grant.
	 * @throws IllegalArgumentException if a number is negative
	 */
	public PermitGrant {
		if (permits < 0 || supporters < 0 || nextPermitInMs < 0) {
			throw new IllegalArgumentException(
					"grant for server %s has %d permits, %d supporters and a wait of %d ms, must not be negative"
						.formatted(serverId, permits, supporters, nextPermitInMs));
		}
	}

}
