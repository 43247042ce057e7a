package io.anvilusher.standin;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;

/**
 * Helper methods for the stand-ins' HTTP servers, which listen on the loopback interface.
 */
final class StandInServer {

	private StandInServer() {
	}

	static Undertow start(int port, int workerThreads, HttpHandler handler) {
		Undertow undertow = Undertow.builder()
			.addHttpListener(port, "127.0.0.1")
			.setIoThreads(2)
			.setWorkerThreads(workerThreads)
			.setServerOption(UndertowOptions.MAX_ENTITY_SIZE, 64L * 1024 * 1024)
			.setHandler(handler)
			.build();
		undertow.start();
		return undertow;
	}

	static int port(Undertow undertow) {
		return ((InetSocketAddress) undertow.getListenerInfo().get(0).getAddress()).getPort();
	}

	/** Prints the port on a line for which {@code JavaProcess} waits. */
	static void announce(Undertow undertow) {
		System.out.println("ready port=" + port(undertow));
	}

	static void sendJson(HttpServerExchange exchange, int status, String body) {
		exchange.setStatusCode(status);
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
		exchange.getResponseSender().send(ByteBuffer.wrap(body.getBytes(StandardCharsets.UTF_8)));
	}

	static String query(HttpServerExchange exchange, String name, String absent) {
		return exchange.getQueryParameters().containsKey(name) ? exchange.getQueryParameters().get(name).getFirst()
				: absent;
	}

}
