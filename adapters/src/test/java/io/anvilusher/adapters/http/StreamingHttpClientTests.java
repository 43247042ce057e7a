package io.anvilusher.adapters.http;

import java.io.EOFException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import org.slf4j.LoggerFactory;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import io.anvilusher.logic.admission.MemoryBudget;
import io.anvilusher.model.request.HttpHeader;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

/**
 * Tests {@link StreamingHttpClient}.
 */
public class StreamingHttpClientTests {

	@Test
	public void closingWithACallInProgressReportsNoError() throws IOException, InterruptedException {
		Logger logger = (Logger) LoggerFactory.getLogger("org.xnio.nio");
		ListAppender<ILoggingEvent> events = new ListAppender<>();
		events.start();
		logger.addAppender(events);
		try (ServerSocket silentServer = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
			URI target = URI.create("http://127.0.0.1:" + silentServer.getLocalPort());
			StreamingHttpClient client = StreamingHttpClient.create("closing", 1);
			client.start(HttpCall.of("GET", target, "/", new byte[0]), new IgnoringListener());
			silentServer.accept();
			// The check of the call becomes due while the I/O thread is closing.
			client.after(10, () -> {
				client.close();
				LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(150));
			});
			TimeUnit.MILLISECONDS.sleep(400);
		}
		finally {
			logger.detachAppender(events);
		}
		assertEquals(events.list.stream().map(ILoggingEvent::getFormattedMessage).toList(), List.of());
	}

	/** More than the socket buffers of both sides hold. */
	private static final int LONG_BODY_BYTES = 32 * 1024 * 1024;

	@Test
	public void connectionOfAnEarlyResponseIsNotUsedAgain() throws Exception {
		byte[] body = new byte[LONG_BODY_BYTES];
		Arrays.fill(body, (byte) 'b');
		try (ServerSocket server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
				StreamingHttpClient client = StreamingHttpClient.create("early", 1)) {
			URI target = URI.create("http://127.0.0.1:" + server.getLocalPort());
			BufferingHttpClient calls = new BufferingHttpClient(client);
			CompletableFuture<HttpCallResponse> first = calls.call(HttpCall.of("POST", target, "/", body), 5_000);
			try (Socket early = server.accept()) {
				early.setSoTimeout(2_000);
				readHead(early);
				respond(early);
				assertEquals(first.get(2, TimeUnit.SECONDS).status(), 200);
				CompletableFuture<HttpCallResponse> second = calls.call(HttpCall.of("GET", target, "/", new byte[0]),
						5_000);
				try (Socket next = server.accept()) {
					readHead(next);
					respond(next);
					assertEquals(second.get(2, TimeUnit.SECONDS).status(), 200);
				}
				assertEquals(countOtherBytes(early), 0);
			}
		}
	}

	@Test
	public void connectionOfAResponseWithoutLengthIsNotUsedAgain() throws Exception {
		try (ServerSocket server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
				StreamingHttpClient client = StreamingHttpClient.create("unframed", 1)) {
			URI target = URI.create("http://127.0.0.1:" + server.getLocalPort());
			BufferingHttpClient calls = new BufferingHttpClient(client);
			for (int count = 0; count < 2; count++) {
				CompletableFuture<HttpCallResponse> response = calls.call(HttpCall.of("GET", target, "/", new byte[0]),
						5_000);
				// The server ends the response but keeps reading.
				try (Socket socket = server.accept()) {
					socket.setSoTimeout(2_000);
					readHead(socket);
					socket.getOutputStream().write("HTTP/1.1 200 S\r\n\r\nok".getBytes(StandardCharsets.US_ASCII));
					socket.shutdownOutput();
					assertEquals(new String(response.get(2, TimeUnit.SECONDS).body(), StandardCharsets.US_ASCII), "ok");
					assertEquals(countOtherBytes(socket), 0);
				}
			}
		}
	}

	@DataProvider
	public Object[][] targetsThatCannotBeConnectedTo() {
		return new Object[][] { { "http://127.0.0.1:99999" }, { "http://server.invalid:80" }, { "http://a_b:80" } };
	}

	/**
	 * Guards against an exception that reaches whoever starts a call, while the call goes
	 * on and reports a failed connection later.
	 */
	@Test(dataProvider = "targetsThatCannotBeConnectedTo")
	public void callThatCannotOpenAConnectionFailsOnceAndThroughItsListener(String target) throws Exception {
		try (StreamingHttpClient client = StreamingHttpClient.create("refusing", 1)) {
			CountingListener listener = new CountingListener("");
			client.start(HttpCall.of("GET", URI.create(target), "/", new byte[0]), listener);
			TimeUnit.MILLISECONDS.sleep(600);
			assertEquals(listener.failures, List.of(false));
		}
	}

	/**
	 * Guards against callers whose messages keep the process from reading the store.
	 */
	@Test
	public void messagesOfCallersDoNotUseUpTheMemoryOfCallsOnAnOwnThread() throws Exception {
		int bodyBytes = 128 * 1024;
		try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
				StreamingHttpClient client = StreamingHttpClient.create("callers", 1);
				StreamingHttpClient own = client.onOwnThread("own")) {
			CompletableFuture.runAsync(() -> {
				try {
					Socket socket = listener.accept();
					socket.getOutputStream()
						.write(("HTTP/1.1 200 S\r\nContent-Length: " + bodyBytes + "\r\n\r\n" + "x".repeat(bodyBytes))
							.getBytes(StandardCharsets.US_ASCII));
				}
				catch (IOException ex) {
					throw new java.io.UncheckedIOException(ex);
				}
			});
			MemoryBudget.Account account = client.memory().open();
			long heldBytes = Runtime.getRuntime().maxMemory();
			while (!account.tryResize(heldBytes)) {
				heldBytes -= bodyBytes / 2;
			}
			HttpCallResponse response = new BufferingHttpClient(own)
				.call(HttpCall.of("GET", URI.create("http://127.0.0.1:" + listener.getLocalPort()), "/", new byte[0]),
						2_000, 2 * bodyBytes)
				.get(3, TimeUnit.SECONDS);
			assertEquals(response.body().length, bodyBytes);
		}
	}

	/**
	 * Guards against an exception on the control thread, which would end the process, if
	 * a call is made while the client is being closed.
	 */
	@Test
	public void callOfAClosedClientFailsThroughItsResult() {
		StreamingHttpClient client = StreamingHttpClient.create("closed", 1);
		client.close();
		CompletableFuture<HttpCallResponse> response = new BufferingHttpClient(client)
			.call(HttpCall.of("GET", URI.create("http://127.0.0.1:9"), "/", new byte[0]), 200, 1_000);
		assertThrows(ExecutionException.class, () -> response.get(2, TimeUnit.SECONDS));
	}

	@DataProvider
	public Object[][] throwingListenerMethods() {
		return new Object[][] { { "onSending" }, { "onHead" }, { "onData" }, { "onEnd" } };
	}

	/**
	 * Guards against calls whose listener throws once, and which are then never ended.
	 */
	@Test(dataProvider = "throwingListenerMethods")
	public void listenerThatThrowsIsToldOnceThatTheCallFailed(String method) throws Exception {
		try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
				StreamingHttpClient client = StreamingHttpClient.create("throwing", 1)) {
			CompletableFuture.runAsync(() -> {
				try {
					respond(listener.accept());
				}
				catch (IOException ex) {
					throw new java.io.UncheckedIOException(ex);
				}
			});
			CountingListener counting = new CountingListener(method);
			client.start(
					HttpCall.of("GET", URI.create("http://127.0.0.1:" + listener.getLocalPort()), "/", new byte[0]),
					counting);
			TimeUnit.MILLISECONDS.sleep(400);
			assertEquals(counting.failures, List.of(true));
		}
	}

	private static void readHead(Socket socket) throws IOException {
		StringBuilder head = new StringBuilder();
		while (!head.toString().endsWith("\r\n\r\n")) {
			int next = socket.getInputStream().read();
			if (next < 0) {
				throw new EOFException("connection closed after \"" + head + "\"");
			}
			head.append((char) next);
		}
	}

	private static void respond(Socket socket) throws IOException {
		socket.getOutputStream()
			.write("HTTP/1.1 200 S\r\nContent-Length: 2\r\n\r\nok".getBytes(StandardCharsets.US_ASCII));
	}

	/**
	 * Reads until the client closes the connection; counts bytes other than the body's.
	 */
	private static int countOtherBytes(Socket socket) throws IOException {
		byte[] buffer = new byte[64 * 1024];
		int others = 0;
		try {
			for (int count = socket.getInputStream().read(buffer); count >= 0; count = socket.getInputStream()
				.read(buffer)) {
				for (int index = 0; index < count; index++) {
					others += (buffer[index] != 'b') ? 1 : 0;
				}
			}
		}
		catch (SocketException ex) {
			// The client reset the connection.
		}
		return others;
	}

	private static final class IgnoringListener implements HttpCallListener {

		@Override
		public void onHead(int status, List<HttpHeader> headers, boolean framed) {
			// The server stays silent.
		}

		@Override
		public void onData(ByteBuffer data) {
			data.position(data.limit());
		}

		@Override
		public void onEnd() {
			// The server stays silent.
		}

		@Override
		public void onFailure(boolean sent, IOException cause) {
			// Closing the client fails the call.
		}

	}

	private static final class CountingListener implements HttpCallListener {

		private final List<Boolean> failures = new CopyOnWriteArrayList<>();

		private final String throwing;

		CountingListener(String throwing) {
			this.throwing = throwing;
		}

		private void throwIn(String method) {
			if (this.throwing.equals(method)) {
				throw new IllegalStateException("thrown by the test");
			}
		}

		@Override
		public void onSending() {
			throwIn("onSending");
		}

		@Override
		public void onHead(int status, List<HttpHeader> headers, boolean framed) {
			throwIn("onHead");
		}

		@Override
		public void onData(ByteBuffer data) {
			throwIn("onData");
			data.position(data.limit());
		}

		@Override
		public void onEnd() {
			throwIn("onEnd");
		}

		@Override
		public void onFailure(boolean sent, IOException cause) {
			this.failures.add(sent);
		}

	}

}
