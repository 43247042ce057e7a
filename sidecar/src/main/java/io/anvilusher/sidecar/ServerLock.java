package io.anvilusher.sidecar;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.Optional;

/**
 * Lock that prevents a second sidecar for the same server. The lock is a bound port: it
 * belongs to one process, even while that process is paused, and is released as soon as
 * the process has ended.
 */
final class ServerLock implements AutoCloseable {

	private final ServerSocket socket;

	private ServerLock(ServerSocket socket) {
		this.socket = socket;
	}

	/**
	 * Acquires the lock without waiting.
	 * @param address the loopback address that is reserved for the lock of the server
	 * @return the lock, or empty if the address cannot be bound because another process
	 * holds it
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
