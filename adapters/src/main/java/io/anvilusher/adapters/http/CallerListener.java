package io.anvilusher.adapters.http;

import java.net.InetSocketAddress;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import org.xnio.Options;

/**
 * Options that all listeners for callers share.
 */
public final class CallerListener {

	private CallerListener() {
	}

	/**
	 * Begins a server with a listener for callers.
	 * @param address where to listen
	 * @param limits what is taken from callers
	 * @param backlog connections that may wait to be accepted
	 * @return the builder
	 */
	public static Undertow.Builder builder(InetSocketAddress address, Limits limits, int backlog) {
		return Undertow.builder()
			.addHttpListener(address.getPort(), address.getAddress().getHostAddress())
			.setSocketOption(Options.BACKLOG, backlog)
			.setSocketOption(Options.TCP_NODELAY, true)
			.setServerOption(UndertowOptions.MAX_HEADER_SIZE, limits.maxHeadBytes())
			.setServerOption(UndertowOptions.MAX_ENTITY_SIZE, limits.maxBodyBytes())
			.setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, limits.headTimeoutMs())
			.setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, limits.idleTimeoutMs())
			.setServerOption(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
			.setServerOption(UndertowOptions.ENABLE_HTTP2, false)
			.setServerOption(UndertowOptions.DECODE_URL, false);
	}

	/**
	 * What is taken from callers.
	 *
	 * @param maxHeadBytes largest head, in bytes
	 * @param maxBodyBytes largest body, in bytes
	 * @param headTimeoutMs time for a head to arrive, in ms
	 * @param idleTimeoutMs time without a request after which a connection is closed, in
	 * ms
	 */
	public record Limits(int maxHeadBytes, long maxBodyBytes, int headTimeoutMs, int idleTimeoutMs) {

	}

}
