package io.anvilusher.proofs;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.stream.Stream;

import org.jspecify.annotations.Nullable;

/**
 * Many clients on one thread that send the same bytes at the same pace, each on a
 * connection of its own. A client whose connection is closed connects again.
 */
public final class ClientCrowd implements AutoCloseable {

	private static final long TURN_MS = 10;

	/** Turns before a client whose connection was closed connects again. */
	private static final int RECONNECT_TURNS = 100;

	private final InetSocketAddress address;

	private final Script script;

	private final List<Client> clients;

	private final Thread thread;

	private volatile boolean closed;

	/**
	 * Starts the clients.
	 * @param port port on the loopback interface that they connect to
	 * @param size number of clients
	 * @param script what each of them sends
	 */
	public ClientCrowd(int port, int size, Script script) {
		this.address = new InetSocketAddress("127.0.0.1", port);
		this.script = script;
		this.clients = Stream.generate(Client::new).limit(size).toList();
		this.thread = new Thread(this::run, "crowd");
		this.thread.setDaemon(true);
		this.thread.start();
	}

	private void run() {
		ByteBuffer sink = ByteBuffer.allocateDirect(64 * 1024);
		while (!this.closed) {
			this.clients.forEach((client) -> client.turn(sink));
			pause();
		}
		this.clients.forEach(Client::close);
	}

	private static void pause() {
		try {
			Thread.sleep(TURN_MS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Closes all connections and waits until the clients have ended.
	 */
	@Override
	public void close() {
		this.closed = true;
		try {
			this.thread.join();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * What each client sends.
	 *
	 * @param start bytes sent first
	 * @param repeated bytes sent repeatedly after them; empty for none
	 * @param repeats how often they are sent; the client then stops and keeps its
	 * connection
	 * @param bytesPerTurn maximum number of bytes sent in 10 ms
	 * @param reads whether the client reads responses
	 */
	public record Script(byte[] start, byte[] repeated, int repeats, int bytesPerTurn, boolean reads) {

	}

	private final class Client {

		private @Nullable SocketChannel channel;

		private ByteBuffer pending = ByteBuffer.allocate(0);

		private int sentRepeats;

		private int waitTurns;

		void turn(ByteBuffer sink) {
			if (this.waitTurns > 0) {
				this.waitTurns--;
				return;
			}
			try {
				SocketChannel current = (this.channel != null) ? this.channel : connect();
				if (!current.finishConnect()) {
					return;
				}
				send(current);
				sink.clear();
				if (ClientCrowd.this.script.reads() && current.read(sink) < 0) {
					close();
				}
			}
			catch (IOException ex) {
				// The gateway closed the connection.
				close();
			}
		}

		private SocketChannel connect() throws IOException {
			SocketChannel opened = SocketChannel.open();
			this.channel = opened;
			opened.configureBlocking(false);
			opened.connect(ClientCrowd.this.address);
			this.pending = ByteBuffer.wrap(ClientCrowd.this.script.start());
			this.sentRepeats = 0;
			return opened;
		}

		private void send(SocketChannel current) throws IOException {
			Script script = ClientCrowd.this.script;
			int allowedBytes = script.bytesPerTurn();
			while (allowedBytes > 0) {
				if (!this.pending.hasRemaining()) {
					if (script.repeated().length == 0 || this.sentRepeats >= script.repeats()) {
						return;
					}
					this.pending = ByteBuffer.wrap(script.repeated());
					this.sentRepeats++;
				}
				ByteBuffer part = this.pending.slice(this.pending.position(),
						Math.min(allowedBytes, this.pending.remaining()));
				int count = current.write(part);
				if (count == 0) {
					return;
				}
				this.pending.position(this.pending.position() + count);
				allowedBytes -= count;
			}
		}

		private void close() {
			this.waitTurns = RECONNECT_TURNS;
			SocketChannel current = this.channel;
			this.channel = null;
			if (current != null) {
				try {
					current.close();
				}
				catch (IOException ex) {
					throw new UncheckedIOException(ex);
				}
			}
		}

	}

}
