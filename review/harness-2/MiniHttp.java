import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 server for stand-ins, with one thread per connection. */
final class MiniHttp {

	interface Handler {

		void handle(Request request, Conn conn) throws Exception;

	}

	record Request(String method, String path, Map<String, String> query, Map<String, String> headers, byte[] body) {

		String header(String name) {
			return this.headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
		}

		long number(String name, long otherwise) {
			String value = this.query.get(name);
			return (value != null) ? Long.parseLong(value) : otherwise;
		}

	}

	static final class Conn {

		final Socket socket;

		Conn(Socket socket) {
			this.socket = socket;
		}

		void respond(int status, byte[] body, String... headers) throws IOException {
			StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " S\r\n");
			for (int index = 0; index + 1 < headers.length; index += 2) {
				head.append(headers[index]).append(": ").append(headers[index + 1]).append("\r\n");
			}
			head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
			write(head.toString().getBytes(StandardCharsets.ISO_8859_1), body);
		}

		void json(int status, String body) throws IOException {
			respond(status, body.getBytes(StandardCharsets.UTF_8), "Content-Type", "application/json");
		}

		void write(byte[]... parts) throws IOException {
			ByteArrayOutputStream all = new ByteArrayOutputStream();
			for (byte[] part : parts) {
				all.write(part);
			}
			OutputStream out = this.socket.getOutputStream();
			out.write(all.toByteArray());
			out.flush();
		}

		void reset() {
			try {
				this.socket.setSoLinger(true, 0);
				this.socket.close();
			}
			catch (IOException ex) {
				// It is closed already.
			}
		}

	}

	private final Handler handler;

	private final Set<Conn> conns = ConcurrentHashMap.newKeySet();

	private final int port;

	private volatile ServerSocket listener;

	MiniHttp(Handler handler) throws IOException {
		this.handler = handler;
		this.listener = listen(0);
		this.port = this.listener.getLocalPort();
	}

	private ServerSocket listen(int atPort) throws IOException {
		ServerSocket socket = new ServerSocket();
		socket.setReuseAddress(true);
		socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), atPort), 512);
		Thread thread = new Thread(() -> accept(socket), "accept");
		thread.setDaemon(true);
		thread.start();
		return socket;
	}

	int port() {
		return this.port;
	}

	String address() {
		return "127.0.0.1:" + this.port;
	}

	/** Ends the server as a process that is killed does: its sockets are reset. */
	void crash() throws IOException {
		this.listener.close();
		this.conns.forEach(Conn::reset);
	}

	void restart() throws IOException {
		this.listener = listen(this.port);
	}

	private void accept(ServerSocket socket) {
		while (true) {
			try {
				Socket accepted = socket.accept();
				accepted.setTcpNoDelay(true);
				Conn conn = new Conn(accepted);
				this.conns.add(conn);
				if (socket.isClosed()) {
					conn.reset();
				}
				Thread thread = new Thread(() -> serve(conn), "conn");
				thread.setDaemon(true);
				thread.start();
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Conn conn) {
		try (Socket socket = conn.socket) {
			InputStream in = new BufferedInputStream(socket.getInputStream());
			Request request = read(in);
			while (request != null) {
				this.handler.handle(request, conn);
				request = read(in);
			}
		}
		catch (IOException ex) {
			// The client or a test closed the connection.
		}
		catch (Exception ex) {
			ex.printStackTrace();
		}
		finally {
			this.conns.remove(conn);
		}
	}

	private static Request read(InputStream in) throws IOException {
		String line = readLine(in);
		if (line == null) {
			return null;
		}
		String[] words = line.split(" ");
		Map<String, String> headers = new LinkedHashMap<>();
		for (String field = readLine(in); field != null && !field.isEmpty(); field = readLine(in)) {
			int colon = field.indexOf(':');
			headers.put(field.substring(0, colon).trim().toLowerCase(Locale.ROOT), field.substring(colon + 1).trim());
		}
		byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
		int mark = words[1].indexOf('?');
		Map<String, String> query = new LinkedHashMap<>();
		if (mark >= 0) {
			for (String pair : words[1].substring(mark + 1).split("&")) {
				int equals = pair.indexOf('=');
				query.put(pair.substring(0, equals), pair.substring(equals + 1));
			}
		}
		return new Request(words[0], (mark >= 0) ? words[1].substring(0, mark) : words[1], query, headers, body);
	}

	static String readLine(InputStream in) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		int next = in.read();
		while (next >= 0 && next != '\n') {
			if (next != '\r') {
				line.write(next);
			}
			next = in.read();
		}
		return (next < 0 && line.size() == 0) ? null : line.toString(StandardCharsets.ISO_8859_1);
	}

}
