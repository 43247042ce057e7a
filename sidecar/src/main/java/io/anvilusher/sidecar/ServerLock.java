package io.anvilusher.sidecar;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.Optional;

/**
 * Keeps a second sidecar of the same server from running: a bound port belongs to one
 * process, also while that process is paused, and is free as soon as it is dead.
 */
final class ServerLock implements AutoCloseable {

	private final ServerSocket socket;

	private ServerLock(ServerSocket socket) {
		this.socket = socket;
	}

	/**
	 * Takes the lock.
	 * @param address the loopback address that stands for the server
	 * @return the lock, or empty if another process holds it
	 */
	static Optional<ServerLock> acquire(InetSocketAddress address) {
		try {
			ServerSocket socket = new ServerSocket();
			socket.setReuseAddress(true);
			socket.bind(address);
			return Optional.of(new ServerLock(socket));
		}
		catch (IOException ex) {
			return Optional.empty();
		}
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

}
