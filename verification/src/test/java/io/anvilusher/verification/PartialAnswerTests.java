package io.anvilusher.verification;

import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import io.anvilusher.deployment.Deployment;
import io.anvilusher.proofs.CallerView;
import io.anvilusher.standin.RawStandIn;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * No caller of an entry takes a part of a backend server's response, or bytes that are no
 * response, for an answer.
 */
public class PartialAnswerTests {

	/** Larger than the buffers of both sockets; an entry takes 4 MiB. */
	private static final int UPLOAD_BYTES = 4_000_000;

	private static final String HEAD = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";

	private static final String WHOLE = "Content-Length: 2\r\n\r\nhi";

	private static final List<String> PARTS = List.of(HEAD + "\r\n", HEAD + "\r\nhel",
			HEAD.replace("HTTP/1.1", "HTTP/1.0") + "\r\nhel", HEAD + "Content-Length: 5\r\n\r\nhel",
			HEAD + "Transfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n", HEAD + "\r\n" + "h".repeat(400_000));

	private static final List<String> FIRST_LINES = List.of("HTTP/1.1 000 OK", "HTTP/1.1 0 x", "HTTP/1.1 20 OK",
			"HTTP/1.1 2000 OK", "HTTP/1.1 -200", "HTTP/1.1 2x0 OK", "HTTP/1.1 4294967496 OK", "HTTP/1.1200 OK",
			"HTTP/9.9 200 OK", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "ICY 200 OK", "", "\u0000\u0001\u0002");

	private static final List<String> WRONG_HEADS = List.of("Content-Length: 1\r\n", "Content-Length: 0\r\n",
			"Content-Length: 1\r\nContent-Length: 2\r\n", "Content-Length: 2\r\nContent-Length: 1\r\n",
			"Content-Length: 2\r\nContent-Length: x\r\n", "Content-Length: +2\r\n", "Content-Length: 2x\r\n",
			"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n", "X-A: a\r\n Content-Length: 2\r\n",
			"\tX-A: a\r\nContent-Length: 2\r\n", "X@A: a\r\nContent-Length: 2\r\n", "X A: a\r\nContent-Length: 2\r\n",
			"X-A : a\r\nContent-Length: 2\r\n", "X\u0001A: a\r\nContent-Length: 2\r\n", " : a\r\nContent-Length: 2\r\n",
			"X-A\r\nContent-Length: 2\r\n", "X-A: a\rb\r\nContent-Length: 2\r\n",
			"X-A: a\u0000b\r\nContent-Length: 2\r\n");

	private Deployment deployment;

	private String key;

	private int requests;

	@BeforeClass
	public void startDeployment() throws IOException {
		this.deployment = Deployment.start();
		this.deployment.startRawService("booking-1", "ro-central-a", "booking");
		this.deployment.startEntry("entry-a", "ro-central-a");
		this.deployment.publish(ThinPathTests.EXAMPLES.resolve("alpaca-pasi.json"));
		this.key = this.deployment.grantKey("paddock-gate");
		this.deployment.awaitServers("entry-a", 1);
	}

	@AfterClass(alwaysRun = true)
	public void stopDeployment() {
		this.deployment.close();
	}

	private CallerView book(String answer, RawStandIn.End end, int bodyBytes) throws IOException {
		String fault = new ObjectMapper().createObjectNode().put("answer", answer).put("end", end.name()).toString();
		this.deployment.post(this.deployment.backendUrl("booking-1") + "/control/fault", fault);
		// Requests with the same content would be suspected of crashing the server.
		this.requests++;
		String body = "{\"family\":\"" + this.requests + "\",\"note\":\"" + "x".repeat(bodyBytes) + "\"}";
		try (Socket socket = new Socket("127.0.0.1", URI.create(this.deployment.entryUrl("entry-a")).getPort())) {
			socket.setSoTimeout(20_000);
			socket.getOutputStream()
				.write(("POST /bookings HTTP/1.1\r\nHost: h\r\nX-Api-Key: " + this.key
						+ "\r\nContent-Type: application/json\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
					.getBytes(StandardCharsets.ISO_8859_1));
			return CallerView.read(socket);
		}
	}

	private static boolean isSuccess(CallerView view) {
		return view.text().startsWith("HTTP/1.1 2") && view.isWhole();
	}

	@Test
	public void wholeAnswerToALongUploadIsAnAnswer() throws IOException {
		CallerView view = book(HEAD + WHOLE, RawStandIn.End.READ_THEN_CLOSE, UPLOAD_BYTES);
		assertTrue(isSuccess(view) && view.text().endsWith("hi"), view.toString());
	}

	@DataProvider
	public Object[][] parts() {
		return PARTS.stream()
			.flatMap((part) -> Arrays.stream(RawStandIn.End.values()).map((end) -> new Object[] { end, part }))
			.toArray(Object[][]::new);
	}

	/** Guards against a part of a response that a caller takes for all of it. */
	@Test(dataProvider = "parts", dependsOnMethods = "wholeAnswerToALongUploadIsAnAnswer")
	public void partOfAnAnswerIsNoAnswer(RawStandIn.End end, String part) throws IOException {
		for (int bodyBytes : new int[] { 10, UPLOAD_BYTES }) {
			CallerView view = book(part, end, bodyBytes);
			assertFalse(isSuccess(view), bodyBytes + " bytes: " + view.text().lines().limit(20).toList());
			assertFalse(view.text().contains("not_run"), view.text());
		}
	}

	@DataProvider
	public Object[][] firstLines() {
		return FIRST_LINES.stream()
			.flatMap((line) -> Stream.of(10, UPLOAD_BYTES).map((bytes) -> new Object[] { line, bytes }))
			.toArray(Object[][]::new);
	}

	/** Guards against a status of 000 and the like that a caller takes for an answer. */
	@Test(dataProvider = "firstLines", dependsOnMethods = "wholeAnswerToALongUploadIsAnAnswer")
	public void responseWithoutAStatusLineIsNoAnswer(String line, int bodyBytes) throws IOException {
		CallerView view = book(line + "\r\n" + WHOLE, RawStandIn.End.READ_THEN_CLOSE, bodyBytes);
		assertTrue(view.text().startsWith("HTTP/1.1 502"), view.text());
	}

	@DataProvider
	public Object[][] wrongHeads() {
		return WRONG_HEADS.stream()
			.flatMap((lines) -> Stream.of("HTTP/1.1 200 OK\r\n" + lines, HEAD + lines))
			.map((head) -> new Object[] { head })
			.toArray(Object[][]::new);
	}

	/** Guards against a head that contradicts itself or holds a line that is no field. */
	@Test(dataProvider = "wrongHeads", dependsOnMethods = "wholeAnswerToALongUploadIsAnAnswer")
	public void responseWithAMalformedHeadIsNoAnswer(String head) throws IOException {
		CallerView view = book(head + "\r\nhi", RawStandIn.End.READ_THEN_CLOSE, 10);
		assertTrue(view.text().startsWith("HTTP/1.1 502"), view.text());
		assertFalse(view.text().contains("not_run"), view.text());
	}

}
