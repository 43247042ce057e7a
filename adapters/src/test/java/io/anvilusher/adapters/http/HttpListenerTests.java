package io.anvilusher.adapters.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

import io.anvilusher.adapters.http.HttpListener.ListenerOptions;
import io.anvilusher.adapters.http.ListenerLimits.RequestLimits;
import io.anvilusher.adapters.metrics.Meters;
import io.anvilusher.logic.admission.MemoryBudget;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests which clients of a listener lose their connection when a limit is reached.
 */
public class HttpListenerTests {

	private static final int MAX_CONNECTIONS = 4;

	private static final int BODY_BYTES = 100;

	private static final int STALLED_TIMEOUT_MS = 1_500;

	private static final int READ_TIMEOUT_MS = 5_000;

	private static final String REQUEST = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

	private static final String UPLOAD_HEAD = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + BODY_BYTES
			+ "\r\n\r\n";

	private final List<Socket> clients = new ArrayList<>();

	private final AtomicInteger started = new AtomicInteger();

	private XnioWorker worker;

	private StreamingHttpClient client;

	private Meters meters;

	private HttpListener listener;

	private byte[] response;

	@BeforeMethod
	public void start() throws IOException {
		this.clients.clear();
		this.started.set(0);
		this.response = "ok".getBytes(StandardCharsets.US_ASCII);
		this.meters = new Meters();
		this.worker = Xnio.getInstance()
			.createWorker(OptionMap.builder()
				.set(Options.WORKER_IO_THREADS, 1)
				.set(Options.WORKER_NAME, "listener-test")
				.set(Options.THREAD_DAEMON, true)
				.getMap());
		this.client = StreamingHttpClient.on(this.worker, new MemoryBudget(1_000_000), this.meters);
		this.listener = HttpListener.start(
				new InetSocketAddress("127.0.0.1", 0), this.worker, new ListenerLimits("test", MAX_CONNECTIONS, 100_000,
						new RequestLimits(24_576, 200, 1_000, 1_000, 60), 10_000, 60_000, STALLED_TIMEOUT_MS),
				ListenerOptions.NONE, this.meters, this::handle);
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws IOException {
		for (Socket socket : this.clients) {
			socket.close();
		}
		this.listener.close();
		this.worker.shutdown();
	}

	private void handle(HttpServerExchange exchange) {
		exchange.dispatch(SameThreadExecutor.INSTANCE,
				() -> new RequestBodyReader(exchange, this.client, 1_000, new Responder(exchange)).start());
	}

	private Socket connect(String bytes) throws IOException {
		Socket socket = new Socket("127.0.0.1", this.listener.port());
		socket.setSoTimeout(READ_TIMEOUT_MS);
		this.clients.add(socket);
		socket.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
		pause(100);
		return socket;
	}

	private static void pause(long ms) {
		try {
			Thread.sleep(ms);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static void assertServed(Socket socket) throws IOException {
		byte[] start = socket.getInputStream().readNBytes(15);
		assertEquals(new String(start, StandardCharsets.US_ASCII), "HTTP/1.1 200 OK");
	}

	private static void assertClosed(Socket socket) throws IOException {
		try {
			assertEquals(socket.getInputStream().read(), -1);
		}
		catch (SocketException ex) {
			assertTrue(ex.getMessage().contains("reset"), ex.toString());
		}
	}

	private double closed(String limit, String stage) {
		return this.meters.counter("anvilusher.client.closed", "listener", "test", "limit", limit, "stage", stage)
			.count();
	}

	/** Guards against an ordinary client that is turned away for incomplete requests. */
	@Test
	public void incompleteRequestsMakeRoomOldestFirst() throws IOException {
		Socket body = connect(UPLOAD_HEAD);
		Socket firstHead = connect("GET / HTTP/1.1\r\nHost:");
		Socket secondHead = connect("");
		Socket thirdHead = connect("GET");
		assertServed(connect(REQUEST));
		assertClosed(firstHead);
		assertServed(connect(REQUEST));
		assertClosed(secondHead);
		assertServed(connect(REQUEST));
		assertClosed(thirdHead);
		assertServed(connect(REQUEST));
		assertClosed(body);
		assertEquals(closed("connections", "head"), 3.0);
		assertEquals(closed("connections", "body"), 1.0);
		assertEquals(this.started.get(), 4);
	}

	/**
	 * Guards against a new client that is turned away for connections without requests.
	 */
	@Test
	public void idleConnectionsMakeRoom() throws IOException {
		Socket first = connect(REQUEST);
		assertServed(first);
		for (int count = 0; count < MAX_CONNECTIONS; count++) {
			assertServed(connect(REQUEST));
		}
		assertEquals(closed("connections", "idle"), 1.0);
	}

	/** Guards against clients that keep all connections by not reading. */
	@Test
	public void unreadResponsesMakeRoom() throws IOException {
		this.response = new byte[16 * 1024 * 1024];
		for (int count = 0; count < MAX_CONNECTIONS; count++) {
			connect(REQUEST);
		}
		pause(1_100);
		assertServed(connect(REQUEST));
		assertTrue(closed("connections", "unread_response") + closed("stalled", "unread_response") >= 1);
	}

	/** Guards against bodies and responses that are never ended. */
	@Test
	public void stalledClientsAreClosed() throws IOException {
		Socket body = connect(UPLOAD_HEAD + "x");
		Socket silent = connect("");
		assertClosed(body);
		assertEquals(closed("stalled", "body"), 1.0);
		silent.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
		assertServed(silent);
	}

	/** Guards against legal heads that need too much memory together. */
	@Test
	public void largestHeadsAreClosedOldestFirst() throws IOException {
		String head = "GET / HTTP/1.1\r\nHost: h\r\nX-Pad: " + "x".repeat(1_500);
		Socket first = connect(head);
		Socket second = connect(head);
		assertClosed(first);
		assertEquals(closed("head_memory", "head"), 1.0);
		second.getOutputStream().write("\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
		assertServed(second);
	}

	/** Guards against limits that a single request within the documented ones reaches. */
	@Test
	public void headOfDocumentedSizeIsServed() throws IOException {
		Socket socket = connect("GET / HTTP/1.1\r\nHost: h\r\nX-Pad: " + "x".repeat(16_384 - 100) + "\r\n\r\n");
		assertServed(socket);
	}

	/** Guards against a request that is kept waiting while the next one has arrived. */
	@Test
	public void pipelinedRequestsAreServedInOrder() throws IOException {
		Socket socket = connect(REQUEST.repeat(50));
		byte[] last = (REQUEST.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"))
			.getBytes(StandardCharsets.US_ASCII);
		socket.getOutputStream().write(last);
		String responses = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
		assertEquals(responses.split("HTTP/1.1 200 OK", -1).length - 1, 51);
		assertEquals(this.started.get(), 51);
	}

	/** Guards against clients that use up the processor with requests sent ahead. */
	@Test
	public void connectionWithTooManyPipelinedRequestsIsClosed() throws IOException {
		Socket socket = connect(REQUEST.repeat(90));
		try {
			socket.getInputStream().readAllBytes();
		}
		catch (SocketException ex) {
			assertTrue(ex.getMessage().contains("reset"), ex.toString());
		}
		assertEquals(closed("pipelined", "head"), 1.0);
		assertTrue(this.started.get() >= 60 && this.started.get() < 90, this.started + " started");
	}

	/** Guards against parsed heads of requests in progress that need too much memory. */
	@Test
	public void requestWhoseHeadFindsNoMemoryIsNotStarted() throws IOException {
		this.response = new byte[16 * 1024 * 1024];
		String request = "GET /?" + "a&".repeat(300) + " HTTP/1.1\r\nHost: h\r\n\r\n";
		connect(request);
		assertEquals(this.started.get(), 1);
		assertClosed(connect(request));
		assertEquals(this.started.get(), 1);
		assertEquals(closed("head_memory", "head"), 1.0);
	}

	private final class Responder implements RequestBodyReader.Listener {

		private final HttpServerExchange exchange;

		Responder(HttpServerExchange exchange) {
			this.exchange = exchange;
		}

		@Override
		public void onBody(byte[] body) {
			HttpListenerTests.this.started.incrementAndGet();
			byte[] content = HttpListenerTests.this.response;
			this.exchange.setResponseContentLength(content.length);
			ResponseWriter writer = new ResponseWriter(this.exchange);
			writer.add(ByteBuffer.wrap(content), () -> {
			});
			writer.end();
			writer.open();
			writer.drain();
		}

		@Override
		public void onRejected(BodyBuffer.Result reason) {
			throw new AssertionError(reason);
		}

		@Override
		public void onFailed(IOException cause) {
			this.exchange.endExchange();
		}

	}

}
