package io.anvilusher.deployment;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * TCP proxy that simulates a network partition: it forwards connections to a port and can
 * hold back the data of either direction while the connections stay open.
 */
public final class PartitionProxy implements AutoCloseable {

	private final ServerSocket server;

	private final int targetPort;

	private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

	private volatile boolean blockedToTarget;

	private volatile boolean blockedFromTarget;

	private PartitionProxy(int targetPort) throws IOException {
		this.server = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
		this.targetPort = targetPort;
		run(this::accept);
	}

	public static PartitionProxy to(int targetPort) throws IOException {
		return new PartitionProxy(targetPort);
	}

	public String url() {
		return "http://127.0.0.1:" + port();
	}

	public int port() {
		return this.server.getLocalPort();
	}

	/** Sets for each direction whether data is held back, until the next call. */
	public void block(boolean toTarget, boolean fromTarget) {
		this.blockedToTarget = toTarget;
		this.blockedFromTarget = fromTarget;
	}

	private void accept() throws IOException {
		while (!this.server.isClosed()) {
			Socket caller = this.server.accept();
			Socket target = new Socket(InetAddress.getLoopbackAddress(), this.targetPort);
			caller.setTcpNoDelay(true);
			target.setTcpNoDelay(true);
			this.sockets.add(caller);
			this.sockets.add(target);
			run(() -> forward(caller, target, true));
			run(() -> forward(target, caller, false));
		}
	}

	private void forward(Socket from, Socket to, boolean toTarget) throws IOException {
		try (from; to) {
			InputStream in = from.getInputStream();
			OutputStream out = to.getOutputStream();
			byte[] buffer = new byte[16 * 1024];
			for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
				while (toTarget ? this.blockedToTarget : this.blockedFromTarget) {
					TimeUnit.MILLISECONDS.sleep(5);
				}
				out.write(buffer, 0, count);
				out.flush();
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			this.sockets.remove(from);
			this.sockets.remove(to);
		}
	}

	private static void run(Task task) {
		Thread thread = new Thread(() -> {
			try {
				task.run();
			}
			catch (IOException ex) {
				// The connection has ended.
			}
		}, "partition-proxy");
		thread.setDaemon(true);
		thread.start();
	}

	@Override
	public void close() throws IOException {
		this.server.close();
		for (Socket socket : this.sockets) {
			socket.close();
		}
	}

	@FunctionalInterface
	private interface Task {

		void run() throws IOException;

	}

}
