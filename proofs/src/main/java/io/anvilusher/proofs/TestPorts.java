package io.anvilusher.proofs;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.IntStream;

/**
 * Hands out ports of the loopback interface to tests, which bind them later. The ports
 * are below those that the operating system assigns by itself, and other test processes
 * on the machine get different ones.
 */
public final class TestPorts {

	private static final int FIRST_PORT = 12_000;

	/** The default range of ports that Linux assigns by itself begins after this one. */
	private static final int LAST_PORT = 32_767;

	/** Number of ports that are kept from other processes; the newest ones. */
	private static final int MAX_CLAIMS = 256;

	/** Sockets that mark ports as taken for other test processes, the oldest first. */
	private static final Deque<DatagramSocket> CLAIMS = new ArrayDeque<>();

	private static int nextPort = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT + 1);

	private TestPorts() {
	}

	/**
	 * Returns a port that no socket uses. It is returned to no other caller as long as
	 * most other ports have not been handed out.
	 * @return the port
	 * @throws IllegalStateException if no port is free
	 */
	public static synchronized int next() {
		return IntStream.rangeClosed(FIRST_PORT, LAST_PORT)
			.map((ignored) -> advance())
			.filter(TestPorts::claim)
			.findFirst()
			.orElseThrow(() -> new IllegalStateException(
					"No port from " + FIRST_PORT + " to " + LAST_PORT + " is free for a test"));
	}

	private static int advance() {
		int port = nextPort;
		nextPort = (port < LAST_PORT) ? port + 1 : FIRST_PORT;
		return port;
	}

	private static boolean claim(int port) {
		Optional<DatagramSocket> claim = bindClaim(port);
		if (claim.isEmpty()) {
			return false;
		}
		if (!isFree(port)) {
			claim.get().close();
			return false;
		}
		CLAIMS.addLast(claim.get());
		if (CLAIMS.size() > MAX_CLAIMS) {
			CLAIMS.removeFirst().close();
		}
		return true;
	}

	// The claim is a UDP socket, so the test can still bind the TCP port of this number.
	private static Optional<DatagramSocket> bindClaim(int port) {
		try {
			return Optional.of(new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), port)));
		}
		catch (IOException ex) {
			return Optional.empty();
		}
	}

	private static boolean isFree(int port) {
		try (ServerSocket socket = new ServerSocket(port, 1)) {
			return socket.isBound();
		}
		catch (IOException ex) {
			return false;
		}
	}

}
