package io.anvilusher.logic.limit;

/**
 * Message from a gateway to the keeper of a server. It supports the keeper for
 * {@link PermitHolder#SUPPORT_MS} from the time of sending.
 *
 * @param serverId identifies an incarnation of a server
 * @param run run of the gateway's process, positive
 * @param sequence time of sending in ms on the monotonic clock of the gateway; larger
 * than in all earlier wishes of the run for this server
 * @param permits number of permits that the gateway lacks now; 0 if it only supports the
 * keeper. It replaces the number of earlier wishes.
 * @param calls calls that were sent without a permit since the last wish
 */
public record PermitWish(String serverId, long run, long sequence, int permits, int calls) {

	/**
	 * Creates a wish.
	 * @throws IllegalArgumentException if a number is negative
	 */
	public PermitWish {
		if (permits < 0 || calls < 0) {
			throw new IllegalArgumentException("wish for server %s has %d permits and %d calls, must not be negative"
				.formatted(serverId, permits, calls));
		}
	}

}
