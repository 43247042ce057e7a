package io.anvilusher.proofs;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What a caller sees of a response: the bytes, and whether the response is whole by the
 * rules of HTTP/1.1 (RFC 9112, section 6.3).
 *
 * @param text the bytes received
 * @param reset whether the connection ended with a reset
 */
public record CallerView(String text, boolean reset) {

	private static final Pattern CONTENT_LENGTH = Pattern.compile("(?i)\r\ncontent-length: (\\d+)\r\n");

	/**
	 * Reads until the connection ends or the response is whole by its framing.
	 * @param socket the caller's connection
	 * @return what the caller sees
	 * @throws IOException if nothing arrives within the timeout of the socket
	 */
	public static CallerView read(Socket socket) throws IOException {
		ByteArrayOutputStream received = new ByteArrayOutputStream();
		byte[] buffer = new byte[4_096];
		try {
			for (int count = socket.getInputStream().read(buffer); count >= 0; count = socket.getInputStream()
				.read(buffer)) {
				received.write(buffer, 0, count);
				CallerView view = new CallerView(received.toString(StandardCharsets.ISO_8859_1), false);
				if (view.isFramed() && view.isWhole()) {
					return view;
				}
			}
		}
		catch (SocketException ex) {
			return new CallerView(received.toString(StandardCharsets.ISO_8859_1), true);
		}
		return new CallerView(received.toString(StandardCharsets.ISO_8859_1), false);
	}

	private int headEnd() {
		return this.text.indexOf("\r\n\r\n");
	}

	private boolean isChunked() {
		return headEnd() >= 0
				&& this.text.substring(0, headEnd()).toLowerCase(Locale.ROOT).contains("transfer-encoding: chunked");
	}

	private Matcher contentLength() {
		return CONTENT_LENGTH.matcher(this.text.substring(0, headEnd() + 2));
	}

	/**
	 * Returns whether the head tells where the body ends.
	 * @return whether the response has a length or chunks
	 */
	public boolean isFramed() {
		return headEnd() >= 0 && (isChunked() || contentLength().find());
	}

	/**
	 * Returns whether the response is whole for a caller that follows HTTP/1.1.
	 * @return false if its framing, or the reset of its connection, shows that it was cut
	 */
	public boolean isWhole() {
		if (headEnd() < 0) {
			return false;
		}
		if (isChunked()) {
			return this.text.endsWith("\r\n0\r\n\r\n");
		}
		Matcher length = contentLength();
		if (length.find()) {
			return this.text.length() - headEnd() - 4 == Integer.parseInt(length.group(1));
		}
		return !this.reset;
	}

}
