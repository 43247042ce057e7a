package io.anvilusher.gateway.placement;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import io.anvilusher.gateway.peer.MessageType;
import io.anvilusher.gateway.peer.Peer;
import io.anvilusher.gateway.peer.PeerChannel;

/**
 * Peer channels of several gateways in one thread. Messages arrive after 1 ms, those of a
 * gateway to itself within the call; messages to unreachable gateways are lost.
 */
final class FakeNetwork {

	private final Map<String, FakeChannel> channels = new TreeMap<>();

	private final Set<String> unreachable = new HashSet<>();

	private final List<MessageType> sent = new ArrayList<>();

	private final FakeTimers timers;

	FakeNetwork(FakeTimers timers) {
		this.timers = timers;
	}

	PeerChannel join(String name) {
		return this.channels.computeIfAbsent(name, FakeChannel::new);
	}

	void setReachable(String name, boolean reachable) {
		if (reachable) {
			this.unreachable.remove(name);
		}
		else {
			this.unreachable.add(name);
		}
	}

	long sent(MessageType type) {
		return this.sent.stream().filter((sentType) -> sentType == type).count();
	}

	private final class FakeChannel implements PeerChannel {

		private final String name;

		private final Map<MessageType, Receiver> receivers = new EnumMap<>(MessageType.class);

		FakeChannel(String name) {
			this.name = name;
		}

		@Override
		public void activate() {
		}

		@Override
		public String self() {
			return this.name;
		}

		@Override
		public List<Peer> peers() {
			return FakeNetwork.this.channels.keySet()
				.stream()
				.map((peer) -> new Peer(peer, new InetSocketAddress("127.0.0.1", 1), "a", 1))
				.toList();
		}

		@Override
		public void send(String peerName, MessageType type, byte[] payload) {
			FakeNetwork.this.sent.add(type);
			if (peerName.equals(this.name)) {
				deliver(this.name, type, payload);
			}
			else if (isConnected(peerName)) {
				FakeNetwork.this.timers.schedule(1, () -> {
					if (isConnected(peerName)) {
						FakeNetwork.this.channels.get(peerName).deliver(this.name, type, payload);
					}
				});
			}
		}

		private boolean isConnected(String peerName) {
			return FakeNetwork.this.channels.containsKey(peerName) && !FakeNetwork.this.unreachable.contains(peerName)
					&& !FakeNetwork.this.unreachable.contains(this.name);
		}

		private void deliver(String sender, MessageType type, byte[] payload) {
			Receiver receiver = this.receivers.get(type);
			if (receiver != null) {
				receiver.receive(sender, payload);
			}
		}

		@Override
		public void onMessage(MessageType type, Receiver receiver) {
			this.receivers.put(type, receiver);
		}

	}

}
