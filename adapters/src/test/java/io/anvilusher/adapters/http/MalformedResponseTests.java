package io.anvilusher.adapters.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import io.anvilusher.adapters.metrics.Meters;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

/**
 * Tests what calls make of malformed responses and of bytes that follow a response.
 */
public class MalformedResponseTests {

	private static final String OK = "HTTP/1.1 200 OK\r\n";

	private static final int TIMEOUT_MS = 3_000;

	/** Waits longer than the client needs to read the next bytes of a connection. */
	private static final long READ_DELAY_MS = 100;

	private final Meters meters = new Meters();

	private ServerSocket server;

	private StreamingHttpClient client;

	private BufferingHttpClient calls;

	@BeforeMethod
	public void start() throws IOException {
		this.server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
		this.server.setSoTimeout(TIMEOUT_MS);
		this.client = StreamingHttpClient.create("malformed", 1, this.meters);
		this.calls = new BufferingHttpClient(this.client);
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws IOException {
		this.client.close();
		this.server.close();
	}

	private CompletableFuture<HttpCallResponse> call(String method) {
		URI target = URI.create("http://127.0.0.1:" + this.server.getLocalPort());
		return this.calls.call(HttpCall.of(method, target, "/", new byte[0]), TIMEOUT_MS);
	}

	private Socket acceptRequest() throws IOException {
		Socket socket = this.server.accept();
		socket.setSoTimeout(TIMEOUT_MS);
		readRequest(socket);
		return socket;
	}

	private static void readRequest(Socket socket) throws IOException {
		InputStream in = socket.getInputStream();
		StringBuilder head = new StringBuilder();
		while (head.indexOf("\r\n\r\n") < 0) {
			int next = in.read();
			assertTrue(next >= 0, "connection closed after \"" + head + "\"");
			head.append((char) next);
		}
	}

	private static void write(Socket socket, String bytes) throws IOException {
		socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
	}

	private static boolean isClosedByPeer(Socket socket) throws IOException {
		try {
			return socket.getInputStream().read() < 0;
		}
		catch (SocketException ex) {
			// Bytes that were not read turn the end into a reset.
			return true;
		}
	}

	@DataProvider
	public Object[][] malformedResponses() {
		return new Object[][] { { "GET", OK + "Content-Length: 2\r\nContent-Length: 4\r\n\r\nbody" },
				{ "GET", OK + "Content-Length: +4\r\n\r\nbody" },
				{ "GET", OK + " X: a\r\nContent-Length: 4\r\n\r\nbody" },
				{ "GET", OK + "X@: a\r\nContent-Length: 4\r\n\r\nbody" },
				{ "GET", OK + "Content-Length: 2\r\n\r\nbody" }, { "GET", OK + "Content-Length: 0\r\n\r\nbody" },
				{ "GET", "HTTP/1.1 204 x\r\n\r\nbody" }, { "GET", "HTTP/1.1 204 x\r\nContent-Length: 4\r\n\r\n" },
				{ "GET", "HTTP/1.1 204 x\r\nTransfer-Encoding: chunked\r\n\r\n" },
				{ "GET", "HTTP/1.1 304 x\r\nContent-Length: 4\r\n\r\nbody" },
				{ "GET", OK + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nbody" },
				{ "GET", OK + "Transfer-Encoding: chunked\r\n\r\nbody" } };
	}

	/** Guards against a call that succeeds, or that waits for its timeout. */
	@Test(dataProvider = "malformedResponses")
	public void malformedResponseFailsTheCallAtOnceAndClosesTheConnection(String method, String bytes)
			throws Exception {
		CompletableFuture<HttpCallResponse> response = call(method);
		try (Socket socket = acceptRequest()) {
			write(socket, bytes);
			ExecutionException failure = org.testng.Assert.expectThrows(ExecutionException.class,
					() -> response.get(TIMEOUT_MS / 2, TimeUnit.MILLISECONDS));
			assertTrue(failure.getCause() instanceof IOException, failure.toString());
			assertTrue(isClosedByPeer(socket));
		}
		assertTrue(this.meters.scrape().contains("anvilusher_responses_malformed_total{"), this.meters.scrape());
	}

	/** Guards against a check that sees only what arrives with the head. */
	@Test
	public void restOfABodyThatArrivedWithItFailsTheCall() throws Exception {
		CompletableFuture<HttpCallResponse> response = call("GET");
		try (Socket socket = acceptRequest()) {
			write(socket, OK + "Content-Length: 20\r\n\r\n");
			TimeUnit.MILLISECONDS.sleep(READ_DELAY_MS);
			write(socket, "0123456789".repeat(4));
			assertThrows(ExecutionException.class, () -> response.get(TIMEOUT_MS, TimeUnit.MILLISECONDS));
			assertTrue(isClosedByPeer(socket));
		}
	}

	@DataProvider
	public Object[][] bodilessResponses() {
		return new Object[][] { { "HEAD", OK + "Content-Length: 4\r\n\r\n", 200 },
				{ "HEAD", OK + "Transfer-Encoding: chunked\r\n\r\n", 200 }, { "HEAD", OK + "\r\n", 200 },
				{ "GET", "HTTP/1.1 204 x\r\n\r\n", 204 }, { "GET", "HTTP/1.1 204 x\r\nContent-Length: 0\r\n\r\n", 204 },
				{ "GET", "HTTP/1.1 304 x\r\n\r\n", 304 }, { "GET", "HTTP/1.1 304 x\r\nContent-Length: 0\r\n\r\n", 304 },
				{ "GET", OK + "Content-Length: 0\r\n\r\n", 200 } };
	}

	/** Guards against a call that waits for a body, and against a lost connection. */
	@Test(dataProvider = "bodilessResponses")
	public void responseWithoutBodyEndsWithItsHeadAndKeepsTheConnection(String method, String bytes, int status)
			throws Exception {
		CompletableFuture<HttpCallResponse> response = call(method);
		try (Socket socket = acceptRequest()) {
			write(socket, bytes);
			assertEquals(response.get(TIMEOUT_MS / 2, TimeUnit.MILLISECONDS).status(), status);
			CompletableFuture<HttpCallResponse> second = call("GET");
			readRequest(socket);
			write(socket, OK + "Content-Length: 2\r\n\r\nhi");
			assertEquals(second.get(TIMEOUT_MS, TimeUnit.MILLISECONDS).body().length, 2);
		}
	}

	@DataProvider
	public Object[][] unmodifiedResponses() {
		return new Object[][] { { "Content-Length: 4" }, { "Transfer-Encoding: chunked" } };
	}

	/**
	 * Guards against a call that waits for the body that a 304 only describes (RFC 9110,
	 * section 8.6).
	 */
	@Test(dataProvider = "unmodifiedResponses")
	public void responseThatDescribesAnotherBodyEndsWithItsHead(String field) throws Exception {
		CompletableFuture<HttpCallResponse> response = call("GET");
		try (Socket socket = acceptRequest()) {
			write(socket, "HTTP/1.1 304 x\r\n" + field + "\r\n\r\n");
			assertEquals(response.get(TIMEOUT_MS / 2, TimeUnit.MILLISECONDS).status(), 304);
			assertNextCallOpensAConnection();
		}
	}

	@DataProvider
	public Object[][] lateBytes() {
		return new Object[][] { { "x" }, { "\r\n" }, { OK + "Content-Length: 4\r\n\r\nlate" } };
	}

	/** Guards against bytes that are taken for the response to the next request. */
	@Test(dataProvider = "lateBytes")
	public void connectionWithBytesAfterTheResponseIsNotUsedAgain(String late) throws Exception {
		CompletableFuture<HttpCallResponse> response = call("GET");
		try (Socket socket = acceptRequest()) {
			write(socket, OK + "Content-Length: 2\r\n\r\nhi");
			assertEquals(response.get(TIMEOUT_MS, TimeUnit.MILLISECONDS).status(), 200);
			write(socket, late);
			assertTrue(isClosedByPeer(socket));
			assertNextCallOpensAConnection();
		}
	}

	/** Guards against a copy of a response that is taken for the next response. */
	@Test
	public void connectionOfAResponseThatAnotherOneFollowsIsNotUsedAgain() throws Exception {
		CompletableFuture<HttpCallResponse> response = call("GET");
		try (Socket socket = acceptRequest()) {
			write(socket, (OK + "Content-Length: 2\r\n\r\nhi").repeat(2));
			assertEquals(response.get(TIMEOUT_MS, TimeUnit.MILLISECONDS).body().length, 2);
			assertTrue(isClosedByPeer(socket));
			assertNextCallOpensAConnection();
		}
	}

	/**
	 * Guards against a body that a server sends to HEAD and that is taken for a response.
	 */
	@Test
	public void connectionOfAResponseToHeadWithABodyIsNotUsedAgain() throws Exception {
		CompletableFuture<HttpCallResponse> response = call("HEAD");
		try (Socket socket = acceptRequest()) {
			write(socket, OK + "Content-Length: 4\r\n\r\nbody");
			assertEquals(response.get(TIMEOUT_MS, TimeUnit.MILLISECONDS).body().length, 0);
			assertTrue(isClosedByPeer(socket));
			assertNextCallOpensAConnection();
		}
	}

	private void assertNextCallOpensAConnection() throws Exception {
		CompletableFuture<HttpCallResponse> next = call("GET");
		try (Socket other = acceptRequest()) {
			write(other, OK + "Content-Length: 3\r\n\r\nyes");
			assertEquals(next.get(TIMEOUT_MS, TimeUnit.MILLISECONDS).body().length, 3);
		}
	}

}
