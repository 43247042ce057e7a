package io.anvilusher.adapters.http;

import java.net.InetSocketAddress;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import org.xnio.Options;

/**
 * Creates HTTP servers for callers with the options that all of them share.
 */
public final class CallerServers {

	private CallerServers() {
	}

	/**
	 * Returns a builder of a server that listens for callers.
	 * @param address address to listen on
	 * @param limits limits on requests and connections of callers
	 * @param backlog maximum number of connections waiting to be accepted
	 * @return the builder, to which a handler must be added
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
			// Otherwise a response is held back as long as part of the next request has
			// arrived.
			.setServerOption(UndertowOptions.BUFFER_PIPELINED_DATA, false)
			.setServerOption(UndertowOptions.DECODE_URL, false);
	}

	/**
	 * Limits on requests and connections of callers.
	 *
	 * @param maxHeadBytes maximum size of a request head, in bytes
	 * @param maxBodyBytes maximum size of a request body, in bytes
	 * @param headTimeoutMs maximum time for a request head to arrive, in ms
	 * @param idleTimeoutMs time without a request after which a connection is closed, in
	 * ms
	 */
	public record Limits(int maxHeadBytes, long maxBodyBytes, int headTimeoutMs, int idleTimeoutMs) {

	}

}
