package io.anvilusher.logic.limit;

import java.util.HashMap;
import java.util.Map;

/**
 * Determines how long messages of other gateways were under way, from the time of sending
 * on the clock of the sender, relative to the fastest message of the last one to two
 * minutes. Confined to one thread.
 */
public final class MessageAges {

	/**
	 * Time that the first message of a run is taken to have been under way, since it
	 * cannot be told. If its news is not accepted for that, the answer to the
	 * {@linkplain KnownLimits#correction correction} is.
	 */
	public static final long FIRST_TRANSIT_MS = 5_000;

	/** Silence after which a gateway is forgotten. */
	private static final long FORGET_MS = 600_000;

	private final Map<String, Sender> senders = new HashMap<>();

	private long cleanedMs = Long.MIN_VALUE / 2;

	/**
	 * Takes in a message.
	 * @param gateway name of the gateway that sent it
	 * @param run run of its process
	 * @param sentAtMs time of sending on the monotonic clock of the sender
	 * @param nowMs current time of the monotonic clock of this gateway
	 * @return the time that the message was under way longer than the fastest one, in ms;
	 * {@link #FIRST_TRANSIT_MS} for the first message of a run
	 */
	public long transitMs(String gateway, long run, long sentAtMs, long nowMs) {
		if (nowMs - this.cleanedMs >= FORGET_MS) {
			this.cleanedMs = nowMs;
			this.senders.values().removeIf((sender) -> nowMs - sender.lastMs() >= FORGET_MS);
		}
		Sender known = this.senders.get(gateway);
		boolean first = known == null || known.run() != run;
		ClockLag lag = first ? new ClockLag(nowMs) : known.lag();
		this.senders.put(gateway, new Sender(run, lag, nowMs));
		long transitMs = lag.transitMs(sentAtMs, nowMs);
		return first ? FIRST_TRANSIT_MS : transitMs;
	}

	/**
	 * A gateway that sent messages.
	 *
	 * @param run run of its process
	 * @param lag difference of the clocks
	 * @param lastMs time of its last message
	 */
	private record Sender(long run, ClockLag lag, long lastMs) {

	}

}
