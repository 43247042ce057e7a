import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A caller's channel, which is kept open for many requests. */
final class Client implements AutoCloseable {

	record Answer(int status, Map<String, String> headers, byte[] body) {

	}

	private final Socket socket = new Socket();

	private final InputStream in;

	Client(int port, int timeoutMs) throws IOException {
		this.socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1_000);
		this.socket.setSoTimeout(timeoutMs);
		this.socket.setTcpNoDelay(true);
		this.in = new BufferedInputStream(this.socket.getInputStream());
	}

	/** Sends a request and reads the answer; fails if the channel ends without one. */
	Answer exchange(String method, String path, Map<String, String> headers, byte[] body) throws IOException {
		StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
		headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
		if (body.length > 0 || method.equals("POST")) {
			head.append("Content-Length: ").append(body.length).append("\r\n");
		}
		head.append("\r\n");
		ByteArrayOutputStream all = new ByteArrayOutputStream();
		all.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
		all.write(body);
		this.socket.getOutputStream().write(all.toByteArray());
		String status = MiniHttp.readLine(this.in);
		if (status == null) {
			throw new IOException("channel ended without an answer");
		}
		Map<String, String> answered = new LinkedHashMap<>();
		for (String line = MiniHttp.readLine(this.in); line != null && !line.isEmpty(); line = MiniHttp
			.readLine(this.in)) {
			int colon = line.indexOf(':');
			answered.put(line.substring(0, colon).trim().toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
		}
		return new Answer(Integer.parseInt(status.split(" ")[1]), answered, readBody(answered));
	}

	private byte[] readBody(Map<String, String> headers) throws IOException {
		if (!headers.getOrDefault("transfer-encoding", "").equals("chunked")) {
			int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
			byte[] body = this.in.readNBytes(length);
			if (body.length < length) {
				throw new IOException("channel ended within the body");
			}
			return body;
		}
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		while (true) {
			String size = MiniHttp.readLine(this.in);
			if (size == null) {
				throw new IOException("channel ended within the body");
			}
			int length = Integer.parseInt(size.trim(), 16);
			body.write(this.in.readNBytes(length));
			MiniHttp.readLine(this.in);
			if (length == 0) {
				return body.toByteArray();
			}
		}
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

}
