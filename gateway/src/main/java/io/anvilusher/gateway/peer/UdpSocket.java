package io.anvilusher.gateway.peer;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.XnioWorker;
import org.xnio.channels.MulticastMessageChannel;
import org.xnio.channels.SocketAddressBuffer;

/**
 * A UDP socket that is read on the traffic thread. It is bound on a thread of its own,
 * because binding can be slow and the address can be in use.
 */
final class UdpSocket {

	private static final Logger LOGGER = LoggerFactory.getLogger(UdpSocket.class);

	private static final long RETRY_DELAY_MS = 1_000;

	/**
	 * Datagrams read in one step of the traffic thread; the others wait for the next
	 * step, so that they don't delay requests by more than about 1 ms.
	 */
	private static final int MAX_DATAGRAMS_PER_STEP = 32;

	private final InetSocketAddress address;

	private final XnioWorker worker;

	private final BiConsumer<InetSocketAddress, ByteBuffer> receiver;

	/** Larger than a valid datagram, so that one that is too large is recognized. */
	private final ByteBuffer received = ByteBuffer.allocateDirect(PeerDatagram.MAX_BYTES + 1);

	private final ByteBuffer sent = ByteBuffer.allocateDirect(PeerDatagram.MAX_BYTES);

	private volatile @Nullable MulticastMessageChannel channel;

	UdpSocket(InetSocketAddress address, XnioWorker worker, BiConsumer<InetSocketAddress, ByteBuffer> receiver) {
		this.address = address;
		this.worker = worker;
		this.receiver = receiver;
	}

	/**
	 * Starts to bind the socket; returns at once. It is retried until it succeeds.
	 */
	void open() {
		Thread thread = new Thread(this::bindWithRetries, "peer-bind");
		thread.setDaemon(true);
		thread.start();
	}

	private void bindWithRetries() {
		boolean logged = false;
		while (!tryBind(logged)) {
			logged = true;
			try {
				TimeUnit.MILLISECONDS.sleep(RETRY_DELAY_MS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return;
			}
		}
	}

	private boolean tryBind(boolean logged) {
		// The worker leaves a socket open that it fails to bind. The address is therefore
		// tried with a socket that is closed in any case.
		try (DatagramSocket probe = new DatagramSocket(this.address)) {
			LOGGER.debug("Address {} is free", probe.getLocalSocketAddress());
		}
		catch (IOException | RuntimeException ex) {
			logBindFailure(logged, ex);
			return false;
		}
		try {
			// With SO_REUSEADDR, two processes could bind the same UDP address and each
			// would get a part of the datagrams.
			this.channel = this.worker.createUdpServer(this.address, this::listen,
					OptionMap.create(Options.REUSE_ADDRESSES, false));
			LOGGER.info("Messages of other gateways are received at {}", this.address);
			return true;
		}
		catch (IOException | RuntimeException ex) {
			logBindFailure(logged, ex);
			return false;
		}
	}

	private void logBindFailure(boolean logged, Exception cause) {
		if (!logged) {
			LOGGER.atWarn()
				.setCause(cause)
				.addKeyValue("address", this.address)
				.addKeyValue("retry_delay_ms", RETRY_DELAY_MS)
				.log("The address for messages of other gateways cannot be bound; binding is retried, meanwhile "
						+ "this gateway works without these messages");
		}
	}

	private void listen(MulticastMessageChannel bound) {
		ChannelListener<MulticastMessageChannel> listener = this::receive;
		bound.getReadSetter().set(listener);
		bound.resumeReads();
	}

	private void receive(MulticastMessageChannel readable) {
		try {
			SocketAddressBuffer source = new SocketAddressBuffer();
			for (int count = 0; count < MAX_DATAGRAMS_PER_STEP; count++) {
				this.received.clear();
				source.clear();
				readable.receiveFrom(source, this.received);
				// An empty datagram has a source address, too.
				InetSocketAddress from = source.getSourceAddress(InetSocketAddress.class);
				if (from == null) {
					return;
				}
				this.receiver.accept(from, this.received.flip());
			}
		}
		catch (IOException ex) {
			reopen(readable, ex);
		}
		catch (RuntimeException | Error ex) {
			LOGGER.error("Unexpected exception while a message of a gateway was read; the message is dropped", ex);
		}
	}

	private void reopen(MulticastMessageChannel failed, IOException cause) {
		LOGGER.warn("Receiving messages of other gateways failed; the socket is opened again", cause);
		this.channel = null;
		IoUtils.safeClose(failed);
		open();
	}

	/**
	 * Sends a datagram.
	 * @param target address to send to
	 * @param datagram the datagram, at most {@link PeerDatagram#MAX_BYTES} bytes
	 * @return empty if the network took it; otherwise why not
	 */
	String send(InetSocketAddress target, byte[] datagram) {
		MulticastMessageChannel open = this.channel;
		if (open == null) {
			return "no socket";
		}
		try {
			this.sent.clear().put(datagram).flip();
			return open.sendTo(target, this.sent) ? "" : "the send buffer is full";
		}
		catch (IOException | RuntimeException ex) {
			return ex.toString();
		}
	}

}
