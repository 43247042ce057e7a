package io.anvilusher.sidecar.attempt;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import io.anvilusher.adapters.http.BufferingHttpClient;
import io.anvilusher.adapters.http.HttpCall;
import io.anvilusher.adapters.http.HttpCallResponse;
import io.anvilusher.adapters.http.StreamingHttpClient;
import io.anvilusher.protocol.generated.PeerMessages.AttemptStart;
import io.anvilusher.protocol.generated.PeerMessages.Frame;
import io.anvilusher.protocol.generated.PeerMessages.Hello;
import io.anvilusher.protocol.transport.PeerConnection;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;

/**
 * Guards against a late answer of a backend server to one request that is taken for the
 * answer to the next one. Nothing in a response names its request.
 */
public class LateAnswerTests {

	private final BlockingQueue<String> answers = new LinkedBlockingQueue<>();

	private ServerSocket backend;

	private StreamingHttpClient client;

	@BeforeMethod
	public void start() throws IOException {
		this.answers.clear();
		this.backend = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
		this.client = StreamingHttpClient.create("backend", 1);
		Thread accepting = new Thread(this::accept, "backend");
		accepting.setDaemon(true);
		accepting.start();
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws IOException {
		this.client.close();
		this.backend.close();
	}

	private void accept() {
		try {
			while (true) {
				Socket socket = this.backend.accept();
				Thread serving = new Thread(() -> serve(socket), "backend");
				serving.setDaemon(true);
				serving.start();
			}
		}
		catch (IOException ex) {
			// The test has ended.
		}
	}

	// Answers each request with its path, and once more when the next one arrives.
	private static void serve(Socket socket) {
		try (socket) {
			BufferedReader in = new BufferedReader(
					new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
			String answered = "";
			for (String line = in.readLine(); line != null; line = in.readLine()) {
				if (line.startsWith("GET ")) {
					write(socket, answered);
					answered = line.split(" ")[1];
				}
				else if (line.isEmpty()) {
					write(socket, answered);
				}
			}
		}
		catch (IOException ex) {
			// The sidecar closed the connection.
		}
	}

	private static void write(Socket socket, String path) throws IOException {
		if (!path.isEmpty()) {
			socket.getOutputStream()
				.write(("HTTP/1.1 200 OK\r\nContent-Length: " + path.length() + "\r\n\r\n" + path)
					.getBytes(StandardCharsets.ISO_8859_1));
		}
	}

	private String answerTo(String path) throws InterruptedException {
		AttemptStart start = AttemptStart.newBuilder()
			.setAttemptId(path)
			.setMethod("GET")
			.setPath(path)
			.setRepeatable(true)
			.setDeadlineMs(5_000)
			.setInitialCreditBytes(1_000)
			.build();
		new RunningAttempt(start, new Entry(), (ended) -> {
		}).begin(this.client, URI.create("http://127.0.0.1:" + this.backend.getLocalPort()));
		String answer = this.answers.poll(5, TimeUnit.SECONDS);
		assertNotNull(answer, "no answer to " + path);
		return answer;
	}

	@Test
	public void lateAnswerIsNotTakenForTheNextOne() throws InterruptedException {
		for (int count = 0; count < 5; count++) {
			assertEquals(answerTo("/" + count), "/" + count);
			// The connection is kept once the whole answer has been read.
			TimeUnit.MILLISECONDS.sleep(50);
		}
	}

	/** Guards against orders and health checks that get the answer to an attempt. */
	@Test
	public void lateAnswerIsNotTakenForThatToAControlCall() throws Exception {
		assertEquals(answerTo("/0"), "/0");
		TimeUnit.MILLISECONDS.sleep(50);
		HttpCall control = HttpCall.of("GET", URI.create("http://127.0.0.1:" + this.backend.getLocalPort()), "/health",
				new byte[0]);
		HttpCallResponse response = new BufferingHttpClient(this.client).call(control, 5_000, 1_000)
			.get(5, TimeUnit.SECONDS);
		assertEquals(new String(response.body(), StandardCharsets.ISO_8859_1), "/health");
	}

	private final class Entry implements PeerConnection {

		@Override
		public Hello remote() {
			return Hello.getDefaultInstance();
		}

		@Override
		public boolean send(Frame frame) {
			if (frame.hasAnswerChunk()) {
				LateAnswerTests.this.answers.add(frame.getAnswerChunk().getData().toStringUtf8());
			}
			return true;
		}

		@Override
		public void close() {
		}

	}

}
