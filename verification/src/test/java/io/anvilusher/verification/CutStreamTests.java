package io.anvilusher.verification;

import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.stream.Stream;

import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import io.anvilusher.deployment.Deployment;
import io.anvilusher.proofs.CallerView;
import io.anvilusher.proofs.Fault;
import io.anvilusher.proofs.Promise;
import io.anvilusher.proofs.Proves;
import io.anvilusher.proofs.Step;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * No caller takes a stream that an entry breaks off for a whole one.
 */
public class CutStreamTests {

	private Deployment deployment;

	private String key;

	private int requests;

	@BeforeClass
	public void startDeployment() throws IOException {
		this.deployment = Deployment.start();
		this.deployment.startEngine("guide-1", "ro-central-a", "guide", "0", "true", "20", "0.01");
		this.deployment.startEntry("entry-a", "ro-central-a");
		this.deployment.publish(ThinPathTests.EXAMPLES.resolve("alpaca-pasi.json"));
		this.key = this.deployment.grantKey("paddock-gate");
		this.deployment.awaitServers("entry-a", 1);
	}

	@AfterClass(alwaysRun = true)
	public void stopDeployment() {
		this.deployment.close();
	}

	@DataProvider
	public Object[][] callers() {
		return new Object[][] { { "HTTP/1.1", "" }, { "HTTP/1.1", "Connection: close\r\n" }, { "HTTP/1.0", "" },
				{ "HTTP/1.0", "Connection: keep-alive\r\n" } };
	}

	private Socket open(String version, String header, int tokens) throws IOException {
		// Requests with the same content would be suspected of crashing the engine.
		this.requests++;
		String body = "{\"model\":\"guide-13b\",\"stream\":true,\"max_tokens\":" + tokens
				+ ",\"user\":\"u\",\"messages\":[{\"role\":\"user\",\"content\":\"c" + this.requests + "\"}]}";
		Socket socket = new Socket("127.0.0.1", URI.create(this.deployment.entryUrl("entry-a")).getPort());
		socket.setSoTimeout(20_000);
		socket.getOutputStream()
			.write(("POST /v1/chat/completions " + version + "\r\nHost: h\r\nX-Api-Key: " + this.key + "\r\n" + header
					+ "Content-Type: application/json\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
				.getBytes(StandardCharsets.ISO_8859_1));
		return socket;
	}

	private void cutStreamsAfter(int tokens) throws IOException {
		this.deployment.post(this.deployment.backendUrl("guide-1") + "/control/fault",
				"{\"cut_after_tokens\":" + tokens + "}");
	}

	@Test(dataProvider = "callers")
	public void wholeStreamIsWhole(String version, String header) throws IOException {
		try (Socket socket = open(version, header, 10)) {
			CallerView view = CallerView.read(socket);
			assertTrue(view.isWhole(), view.toString());
			assertTrue(view.text().contains("[DONE]"), view.toString());
		}
	}

	@Test(dataProvider = "callers")
	@Proves(promise = Promise.WHOLE_OWN_ANSWER, fault = Fault.PARTITION, step = Step.ANSWER_STREAMING)
	public void streamThatItsEngineCutsIsNotWhole(String version, String header) throws IOException {
		cutStreamsAfter(5);
		try (Socket socket = open(version, header, 50)) {
			CallerView view = CallerView.read(socket);
			assertTrue(view.text().contains(" 200 "), view.toString());
			assertFalse(view.isWhole(), view.toString());
		}
		finally {
			cutStreamsAfter(Integer.MAX_VALUE);
		}
	}

	// Last, since each case ends the entry.
	@Test(dataProvider = "callers", dependsOnMethods = { "wholeStreamIsWhole", "streamThatItsEngineCutsIsNotWhole" },
			alwaysRun = true)
	@Proves(promise = Promise.WHOLE_OWN_ANSWER, fault = Fault.KILL, step = Step.ANSWER_STREAMING)
	public void streamOfAKilledEntryIsNotWhole(String version, String header) throws IOException {
		try (Socket socket = open(version, header, 500)) {
			StringBuilder begun = new StringBuilder();
			while (Stream.of(begun.toString().split("\ndata: ", -1)).count() < 4) {
				int next = socket.getInputStream().read();
				assertTrue(next >= 0, begun.toString());
				begun.append((char) next);
			}
			this.deployment.process("entry-a").kill();
			CallerView rest = CallerView.read(socket);
			CallerView view = new CallerView(begun + rest.text(), rest.reset());
			assertFalse(view.isWhole(), view.toString());
		}
		finally {
			this.deployment.startEntry("entry-a", "ro-central-a");
			this.deployment.awaitServers("entry-a", 1);
		}
	}

}
