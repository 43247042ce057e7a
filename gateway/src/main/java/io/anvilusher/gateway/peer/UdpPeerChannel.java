package io.anvilusher.gateway.peer;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;

import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

import io.anvilusher.adapters.process.SocketAddresses;
import io.anvilusher.gateway.control.StoreTable;
import io.anvilusher.gateway.control.TableFollower;

/**
 * Messages between gateways as UDP datagrams. A datagram is accepted only from the
 * address that is registered under the name of its sender.
 */
public final class UdpPeerChannel implements ManagedPeerChannel {

	private final Peer self;

	private final XnioIoThread thread;

	private final TableFollower.ControlContext context;

	private final PeerDirectory directory;

	private final PeerReceivers receivers;

	private final UdpSocket socket;

	private final AtomicBoolean active = new AtomicBoolean();

	/**
	 * Creates a channel; it sends and receives only after {@link #activate()}.
	 * @param self this gateway, with the address to listen at
	 * @param table table of the store that holds the list of gateways
	 * @param context control thread, clock and metrics
	 * @param worker the worker that runs the traffic thread
	 */
	public UdpPeerChannel(Peer self, StoreTable table, TableFollower.ControlContext context, XnioWorker worker) {
		this.self = self;
		this.thread = worker.getIoThread();
		this.context = context;
		this.directory = new PeerDirectory(self, table, context);
		this.receivers = new PeerReceivers(context.meters(), context.clock());
		this.socket = new UdpSocket(self.address(), worker, this::receive);
	}

	@Override
	public void activate() {
		if (this.active.compareAndSet(false, true)) {
			this.socket.open();
			this.context.thread().run(this.directory::start);
		}
	}

	@Override
	public String self() {
		return this.self.name();
	}

	@Override
	public List<Peer> peers() {
		return this.directory.current().ordered();
	}

	@Override
	public void send(String peerName, MessageType type, byte[] payload) {
		if (peerName.equals(this.self.name())) {
			byte[] copy = payload.clone();
			this.receivers.count("sent", type);
			this.thread.execute(() -> this.receivers.deliver(peerName, type, copy));
			return;
		}
		Optional<Peer> peer = this.directory.current().find(peerName);
		if (peer.isEmpty()) {
			this.receivers.drop(DropReason.PEER_UNKNOWN, peerName, type.label());
			return;
		}
		PeerDatagram.encode(this.self.name(), type, payload)
			.ifPresentOrElse((datagram) -> send(peer.get(), type, datagram), () -> this.receivers
				.drop(DropReason.TOO_LARGE, peerName, type.label() + " of " + payload.length + " bytes"));
	}

	private void send(Peer peer, MessageType type, byte[] datagram) {
		String failure = this.socket.send(peer.address(), datagram);
		if (failure.isEmpty()) {
			this.receivers.count("sent", type);
		}
		else {
			this.receivers.drop(DropReason.NOT_SENT, peer.name(), failure);
		}
	}

	@Override
	public void onMessage(MessageType type, Receiver receiver) {
		this.receivers.set(type, receiver);
	}

	private void receive(InetSocketAddress source, ByteBuffer datagram) {
		int bytes = datagram.remaining();
		PeerDatagram.Decoded decoded = PeerDatagram.decode(datagram);
		if (decoded instanceof PeerDatagram.Decoded.Unusable unusable) {
			this.receivers.drop(unusable.reason(), SocketAddresses.format(source), bytes + " bytes");
		}
		else if (decoded instanceof PeerDatagram.Decoded.Message message) {
			boolean registered = this.directory.current()
				.find(message.sender())
				.filter((peer) -> peer.address().equals(source))
				.isPresent();
			if (registered) {
				this.receivers.deliver(message.sender(), message.type(), message.payload());
			}
			else {
				this.receivers.drop(DropReason.SENDER_UNREGISTERED, SocketAddresses.format(source),
						message.type().label());
			}
		}
	}

	@Override
	public Optional<PeerRoster> roster() {
		return this.directory.roster();
	}

	@Override
	public void remove(Peer peer) {
		this.context.thread().run(() -> this.directory.remove(peer));
	}

}
