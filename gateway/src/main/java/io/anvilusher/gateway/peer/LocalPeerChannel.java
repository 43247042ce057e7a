package io.anvilusher.gateway.peer;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;

import io.anvilusher.adapters.metrics.Meters;
import io.anvilusher.adapters.process.MonotonicClock;

/**
 * The channel of a gateway without an address for messages of other gateways: there are
 * no other gateways, and only messages to itself are delivered.
 */
public final class LocalPeerChannel implements ManagedPeerChannel {

	private final String self;

	private final Executor thread;

	private final MonotonicClock clock;

	private final PeerReceivers receivers;

	/**
	 * Creates a channel.
	 * @param self name of this gateway
	 * @param thread the traffic thread
	 * @param meters the metrics of this process
	 * @param clock the monotonic clock
	 */
	public LocalPeerChannel(String self, Executor thread, Meters meters, MonotonicClock clock) {
		this.self = self;
		this.thread = thread;
		this.clock = clock;
		this.receivers = new PeerReceivers(meters, clock);
	}

	@Override
	public void activate() {
		// There is nothing to listen at and nobody to register with.
	}

	@Override
	public String self() {
		return this.self;
	}

	@Override
	public List<Peer> peers() {
		return List.of();
	}

	@Override
	public void send(String peerName, MessageType type, byte[] payload) {
		if (!peerName.equals(this.self)) {
			this.receivers.drop(DropReason.PEER_UNKNOWN, peerName, type.label());
			return;
		}
		byte[] copy = payload.clone();
		this.receivers.count("sent", type);
		this.thread.execute(() -> this.receivers.deliver(peerName, type, copy));
	}

	@Override
	public void onMessage(MessageType type, Receiver receiver) {
		this.receivers.set(type, receiver);
	}

	/**
	 * {@inheritDoc}
	 * <p>
	 * This gateway is the only one.
	 */
	@Override
	public Optional<PeerRoster> roster() {
		return Optional.of(new PeerRoster(Map.of(this.self, 1.0), this.clock.nowMs()));
	}

	@Override
	public void remove(Peer peer) {
		// The list of gateways is always empty.
	}

}
