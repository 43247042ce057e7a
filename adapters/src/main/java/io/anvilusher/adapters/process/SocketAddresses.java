package io.anvilusher.adapters.process;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.anvilusher.adapters.json.ObjectReader;

/**
 * Parses and formats addresses of the form IP address and port. Host names are rejected,
 * because processes address each other by IP address only.
 */
public final class SocketAddresses {

	private static final int MAX_PORT = 65_535;

	private static final String BYTE = "(?:25[0-5]|2[0-4]\\d|1?\\d?\\d)";

	// Anything else in place of the address would be looked up as a host name.
	private static final Pattern ADDRESS = Pattern
		.compile("(" + BYTE + "(?:\\." + BYTE + "){3}|\\[[0-9a-fA-F:]+])\\:(\\d{1,5})");

	private SocketAddresses() {
	}

	/**
	 * Parses an address.
	 * @param text address and port, such as {@code 10.0.0.7:8080} or {@code [::1]:8080}
	 * @return the address, or empty if the text is not of this form
	 */
	public static Optional<InetSocketAddress> parse(String text) {
		Matcher matcher = ADDRESS.matcher(text);
		if (!matcher.matches() || Integer.parseInt(matcher.group(2)) > MAX_PORT) {
			return Optional.empty();
		}
		return Optional.of(new InetSocketAddress(matcher.group(1), Integer.parseInt(matcher.group(2))))
			.filter((address) -> !address.isUnresolved());
	}

	/**
	 * Reads a settings field that holds an address.
	 * @param reader reader of the settings, to which problems are reported
	 * @param field name of the field
	 * @return the address, or a loopback address after a problem
	 */
	public static InetSocketAddress read(ObjectReader reader, String field) {
		String text = reader.text(field);
		Optional<InetSocketAddress> address = parse(text);
		if (address.isEmpty() && !text.isEmpty()) {
			reader.problem(field, "\"" + field + "\" must be an IP number and a port, such as 10.0.0.7:8080");
		}
		return address.orElseGet(() -> new InetSocketAddress("127.0.0.1", 0));
	}

	/**
	 * Reads a settings field that holds the base URI of an HTTP interface.
	 * @param reader reader of the settings, to which problems are reported
	 * @param field name of the field
	 * @return scheme, host and port; a loopback URI after a problem
	 */
	public static URI readTarget(ObjectReader reader, String field) {
		String text = reader.text(field);
		boolean valid = text.startsWith("http://") && parse(text.substring("http://".length())).isPresent();
		if (!valid && !text.isEmpty()) {
			reader.problem(field, "\"" + field + "\" must be http://, an IP number and a port");
		}
		return URI.create(valid ? text : "http://127.0.0.1:0");
	}

	/**
	 * Formats an address.
	 * @param address the address, which must be resolved
	 * @return address and port, such as {@code 10.0.0.7:8080}
	 */
	public static String format(InetSocketAddress address) {
		return address.getAddress().getHostAddress() + ":" + address.getPort();
	}

}
