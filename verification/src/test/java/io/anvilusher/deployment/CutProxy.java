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

/** Passes TCP connections on to a port, and can hold back what goes either way. */
public final class CutProxy implements AutoCloseable {

	private final ServerSocket server;

	private final int targetPort;

	private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

	private volatile boolean forwardCut;

	private volatile boolean backwardCut;

	private CutProxy(int targetPort) throws IOException {
		this.server = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
		this.targetPort = targetPort;
		run(this::accept);
	}

	public static CutProxy to(int targetPort) throws IOException {
		return new CutProxy(targetPort);
	}

	public String url() {
		return "http://127.0.0.1:" + port();
	}

	public int port() {
		return this.server.getLocalPort();
	}

	/** Holds back what goes to the target, what comes from it, or both. */
	public void cut(boolean forward, boolean backward) {
		this.forwardCut = forward;
		this.backwardCut = backward;
	}

	private void accept() throws IOException {
		while (!this.server.isClosed()) {
			Socket caller = this.server.accept();
			Socket target = new Socket(InetAddress.getLoopbackAddress(), this.targetPort);
			caller.setTcpNoDelay(true);
			target.setTcpNoDelay(true);
			this.sockets.add(caller);
			this.sockets.add(target);
			run(() -> pump(caller, target, true));
			run(() -> pump(target, caller, false));
		}
	}

	private void pump(Socket from, Socket to, boolean forward) throws IOException {
		try (from; to) {
			InputStream in = from.getInputStream();
			OutputStream out = to.getOutputStream();
			byte[] buffer = new byte[16 * 1024];
			for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
				while (forward ? this.forwardCut : this.backwardCut) {
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
		}, "cut-proxy");
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
