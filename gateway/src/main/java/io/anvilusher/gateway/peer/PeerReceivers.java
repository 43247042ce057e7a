package io.anvilusher.gateway.peer;

import java.util.EnumMap;
import java.util.Map;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.anvilusher.adapters.metrics.Meters;
import io.anvilusher.adapters.process.LogInterval;
import io.anvilusher.adapters.process.MonotonicClock;

/**
 * Passes messages to the receivers of their types, and counts messages and dropped
 * messages. Used on the traffic thread.
 */
final class PeerReceivers {

	private static final Logger LOGGER = LoggerFactory.getLogger(PeerReceivers.class);

	private final Map<MessageType, PeerChannel.Receiver> receivers = new EnumMap<>(MessageType.class);

	private final Map<DropReason, LogInterval> dropLog = new EnumMap<>(DropReason.class);

	private final Meters meters;

	private final MonotonicClock clock;

	PeerReceivers(Meters meters, MonotonicClock clock) {
		this.meters = meters;
		this.clock = clock;
	}

	void set(MessageType type, PeerChannel.Receiver receiver) {
		this.receivers.put(type, receiver);
	}

	/**
	 * Passes a message to its receiver. An exception of the receiver is logged and goes
	 * no further.
	 * @param peerName name of the sender
	 * @param type type of the message
	 * @param payload content of the message
	 */
	void deliver(String peerName, MessageType type, byte[] payload) {
		count("received", type);
		PeerChannel.Receiver receiver = this.receivers.get(type);
		if (receiver == null) {
			drop(DropReason.NO_RECEIVER, peerName, type.label());
			return;
		}
		try {
			receiver.receive(peerName, payload);
		}
		catch (RuntimeException | Error ex) {
			dropAfter(ex, peerName, type);
		}
	}

	private void dropAfter(Throwable cause, String peerName, MessageType type) {
		countDrop(DropReason.RECEIVER_FAILED);
		if (mayLog(DropReason.RECEIVER_FAILED)) {
			LOGGER.atError()
				.setCause(cause)
				.addKeyValue("gateway", peerName)
				.addKeyValue("type", type.label())
				.log("Unexpected exception in the receiver of a message between gateways; the message is dropped");
		}
	}

	void count(String direction, MessageType type) {
		this.meters.counter("anvilusher.peer.messages", "direction", direction, "type", type.label()).increment();
	}

	/**
	 * Counts a dropped message; writes at most one log line per reason in 10 s.
	 * @param reason why it is dropped
	 * @param other name or address of the other gateway
	 * @param detail what is known about the message
	 */
	void drop(DropReason reason, String other, String detail) {
		countDrop(reason);
		if (mayLog(reason)) {
			LOGGER.atWarn()
				.addKeyValue("reason", reason.label())
				.addKeyValue("gateway", other)
				.addKeyValue("detail", detail)
				.log("A message between gateways was dropped; further ones are only counted for 10 s");
		}
	}

	private void countDrop(DropReason reason) {
		this.meters.counter("anvilusher.peer.dropped", "reason", reason.label()).increment();
	}

	private boolean mayLog(DropReason reason) {
		return this.dropLog.computeIfAbsent(reason, (key) -> new LogInterval()).tryLog(this.clock.nowMs());
	}

}
