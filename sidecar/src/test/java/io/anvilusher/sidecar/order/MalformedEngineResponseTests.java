package io.anvilusher.sidecar.order;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import io.anvilusher.adapters.http.BufferingHttpClient;
import io.anvilusher.adapters.http.StreamingHttpClient;
import io.anvilusher.model.order.EngineOrder;
import io.anvilusher.model.order.EngineTarget;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests that no malformed response of an engine settles an order.
 */
public class MalformedEngineResponseTests {

	private static final int TIMEOUT_MS = 3_000;

	private static final EngineOrder ORDER = new EngineOrder("o", "l", 1, 1, "s",
			new EngineTarget("decode", "m", "", "v"), "i");

	private ServerSocket server;

	private StreamingHttpClient streaming;

	private EngineClient engine;

	private volatile String response = "";

	@BeforeMethod
	public void start() throws IOException {
		this.server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
		this.streaming = StreamingHttpClient.create("malformed", 1);
		this.engine = new EngineClient(new BufferingHttpClient(this.streaming),
				URI.create("http://127.0.0.1:" + this.server.getLocalPort()));
		Thread thread = new Thread(this::serve, "engine-stand-in");
		thread.setDaemon(true);
		thread.start();
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws IOException {
		this.streaming.close();
		this.server.close();
	}

	private void serve() {
		try {
			while (true) {
				try (Socket socket = this.server.accept()) {
					socket.getOutputStream().write(this.response.getBytes(StandardCharsets.ISO_8859_1));
					socket.shutdownOutput();
					socket.getInputStream().readAllBytes();
				}
			}
		}
		catch (IOException ex) {
			// The test has ended.
		}
	}

	@DataProvider
	public Object[][] malformedLines() {
		return new Object[][] { { "Content-Length: %d\r\nContent-Length: 9999\r\n" }, { "Content-Length: +%d\r\n" },
				{ "X-A: a\r\n Content-Length: %d\r\n" }, { " X-A: a\r\nContent-Length: %d\r\n" },
				{ "X@A: a\r\nContent-Length: %d\r\n" }, { "X-A : a\r\nContent-Length: %d\r\n" } };
	}

	private void respond(int status, String lines, String body) {
		this.response = "HTTP/1.1 " + status + " S\r\n" + String.format(lines, body.length()) + "\r\n" + body;
	}

	@Test(dataProvider = "malformedLines")
	public void responseToAnOrderIsNotConclusive(String lines) throws Exception {
		for (int status : new int[] { 200, 409 }) {
			respond(status, lines, "{}");
			assertEquals(this.engine.sendOrder(ORDER).get(TIMEOUT_MS, TimeUnit.MILLISECONDS),
					EngineClient.OrderResponse.NONE);
		}
	}

	@Test(dataProvider = "malformedLines")
	public void stateIsUnknown(String lines) throws Exception {
		respond(200, lines, "{\"changing\":false,\"order\":\"o\"}");
		assertTrue(this.engine.readState().get(TIMEOUT_MS, TimeUnit.MILLISECONDS).isEmpty());
	}

}
