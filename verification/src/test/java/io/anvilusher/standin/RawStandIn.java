package io.anvilusher.standin;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Stands in for a plain service that answers bookings with bytes that a test chooses,
 * before it has read their body, and then ends the connection or resets it.
 */
public final class RawStandIn {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	/** Keeps what the operating system takes of a body that is not read small. */
	private static final int RECEIVE_BUFFER_BYTES = 16 * 1024;

	private static final int BACKLOG = 50;

	private static final String OK = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}";

	private final ServerSocket listener;

	private volatile Answer answer = new Answer(OK, End.CLOSE);

	private RawStandIn(int port) throws IOException {
		this.listener = new ServerSocket();
		this.listener.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
		this.listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), BACKLOG);
	}

	public static void main(String[] args) throws IOException {
		RawStandIn server = new RawStandIn(Integer.parseInt(args[0]));
		System.out.println("ready port=" + server.listener.getLocalPort());
		while (true) {
			Socket socket = server.listener.accept();
			new Thread(() -> server.serve(socket)).start();
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			String head = readHead(socket.getInputStream());
			if (head.startsWith("POST /bookings")) {
				Answer current = this.answer;
				write(socket, current.bytes());
				end(socket, current.end());
				return;
			}
			if (head.startsWith("POST /control/fault")) {
				JsonNode fault = MAPPER.readTree(socket.getInputStream().readNBytes(contentLength(head)));
				this.answer = new Answer(fault.path("answer").asText(), End.valueOf(fault.path("end").asText()));
			}
			write(socket, OK);
		}
		catch (IOException | InterruptedException ex) {
			System.out.println("connection ended: " + ex);
		}
	}

	private static String readHead(InputStream input) throws IOException {
		StringBuilder head = new StringBuilder();
		while (head.indexOf("\r\n\r\n") < 0) {
			int next = input.read();
			if (next < 0) {
				throw new IOException("The head of the request is cut");
			}
			head.append((char) next);
		}
		return head.toString();
	}

	private static int contentLength(String head) {
		return head.lines()
			.filter((line) -> line.toLowerCase(Locale.ROOT).startsWith("content-length:"))
			.mapToInt((line) -> Integer.parseInt(line.substring(line.indexOf(':') + 1).strip()))
			.findFirst()
			.orElse(0);
	}

	private static void write(Socket socket, String text) throws IOException {
		socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
		socket.getOutputStream().flush();
	}

	private static void end(Socket socket, End end) throws IOException, InterruptedException {
		switch (end) {
			case CLOSE -> socket.close();
			case RESET -> {
				TimeUnit.MILLISECONDS.sleep(60);
				socket.setSoLinger(true, 0);
			}
			case END_THEN_RESET -> {
				socket.shutdownOutput();
				TimeUnit.MILLISECONDS.sleep(60);
				socket.setSoLinger(true, 0);
			}
			case READ_THEN_CLOSE -> {
				socket.shutdownOutput();
				socket.getInputStream().readAllBytes();
			}
		}
	}

	/** How a connection ends after the answer. */
	public enum End {

		/** In order, with most of the body unread. */
		CLOSE,

		/** With a TCP reset. */
		RESET,

		/** In order, and then with a TCP reset. */
		END_THEN_RESET,

		/** In order, once the caller has ended it, too. */
		READ_THEN_CLOSE

	}

	/** What the server sends for a booking, and how it ends the connection. */
	private record Answer(String bytes, End end) {

	}

}
