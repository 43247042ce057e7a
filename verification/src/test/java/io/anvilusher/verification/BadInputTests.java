package io.anvilusher.verification;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import io.anvilusher.deployment.Deployment;
import io.anvilusher.deployment.Deployment.CommandResult;
import io.anvilusher.proofs.Fault;
import io.anvilusher.proofs.Promise;
import io.anvilusher.proofs.Proves;
import io.anvilusher.proofs.Step;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests that malformed, oversized, slow and unauthorized requests are refused with a
 * reason, and that mistakes in settings, configurations and command lines are reported.
 */
public class BadInputTests {

	private static final String CHAT_BODY = "{\"model\":\"guide-13b\",\"max_tokens\":2,\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}";

	private Deployment deployment;

	private String url;

	private String key;

	private String handbooksKey;

	@BeforeClass
	public void startDeployment() throws IOException {
		this.deployment = Deployment.start();
		this.deployment.startEngine("guide-1", "ro-central-a", "guide");
		this.deployment.startPlainService("booking-1", "ro-central-a", "booking", 0);
		this.deployment.startEntry("entry-a", "ro-central-a", this.deployment.platformUrl(),
				", \"max_body_bytes\": 100000, \"caller_timeout_ms\": 1000");
		this.deployment.publish(ThinPathTests.EXAMPLES.resolve("alpaca-pasi.json"));
		this.key = this.deployment.grantKey("paddock-gate");
		this.handbooksKey = this.deployment.grantKey("handbooks");
		this.deployment.awaitServers("entry-a", 2);
		this.url = this.deployment.entryUrl("entry-a");
	}

	@AfterClass(alwaysRun = true)
	public void stopDeployment() {
		this.deployment.close();
	}

	private static void assertRefused(HttpResponse<String> response, int status, String code) {
		assertEquals(response.statusCode(), status, response.body());
		assertTrue(response.body().contains("\"code\":\"" + code + "\""), response.body());
		assertTrue(response.body().contains("\"run\":\"not_run\""), response.body());
		assertTrue(response.headers().firstValue("x-request-id").isPresent());
		assertEquals(response.headers().firstValue("x-run-state").orElse(""), "not_run");
	}

	@Test
	@Proves(promise = Promise.KEYS_BIND_WORKSPACE, fault = Fault.NONE, step = Step.REQUEST_RECEIVED)
	public void missingAndUnknownKeysAreRefused() throws IOException {
		assertRefused(this.deployment.post(this.url + "/v1/chat/completions", CHAT_BODY), 401, "key_missing");
		assertRefused(
				this.deployment.post(this.url + "/v1/chat/completions", CHAT_BODY, "Authorization", "Bearer nonsense"),
				401, "key_unknown");
		String forged = this.key.substring(0, this.key.length() - 1) + (this.key.endsWith("A") ? "B" : "A");
		assertRefused(this.deployment.post(this.url + "/v1/chat/completions", CHAT_BODY, "X-Api-Key", forged), 401,
				"key_unknown");
	}

	@Test
	public void workspaceIsLimitedToItsServices() throws IOException {
		assertRefused(this.deployment.get(this.url + "/availability", "X-Api-Key", this.handbooksKey), 403,
				"service_forbidden");
	}

	@Test
	public void unknownRouteAndModelAreNotFound() throws IOException {
		assertRefused(this.deployment.get(this.url + "/nowhere", "X-Api-Key", this.key), 404, "route_unknown");
		assertRefused(this.deployment.post(this.url + "/v1/chat/completions", CHAT_BODY.replace("guide-13b", "other"),
				"X-Api-Key", this.key), 404, "model_unknown");
	}

	@Test
	public void bodyOverTheLimitIsRefused() throws IOException {
		assertRefused(
				this.deployment.post(this.url + "/v1/chat/completions", "x".repeat(100_001), "X-Api-Key", this.key),
				413, "body_too_large");
	}

	@DataProvider
	public Object[][] malformedBodies() {
		return new Object[][] { { "{\"model\":\n 7 7}", "line 2" }, { "[]", "not an object" },
				{ "{\"messages\":[1]}", "\\\"model\\\"" },
				{ "{\"model\":\"guide-13b\",\"messages\":[]}", "\\\"messages\\\"" },
				{ "{\"model\":\"guide-13b\",\"messages\":[1],\"stream\":\"yes\"}", "\\\"stream\\\"" } };
	}

	@Test(dataProvider = "malformedBodies")
	public void malformedBodyIsRefusedWithThePlace(String body, String expected) throws IOException {
		HttpResponse<String> response = this.deployment.post(this.url + "/v1/chat/completions", body, "X-Api-Key",
				this.key);
		assertRefused(response, 400, "malformed_body");
		assertTrue(response.body().contains(expected), response.body());
	}

	@Test
	@Proves(promise = Promise.KEYS_BIND_WORKSPACE, fault = Fault.NONE, step = Step.ATTEMPT_DISPATCHED)
	public void keyReachesNoBackendServer() throws IOException {
		String secret = this.key.substring(16);
		this.deployment.post(this.deployment.backendUrl("guide-1") + "/control/fault", "{\"record\":true}");
		this.deployment.post(this.url + "/v1/chat/completions", CHAT_BODY, "Authorization", "Bearer " + this.key);
		this.deployment.post(this.url + "/v1/chat/completions", CHAT_BODY, "X-Api-Key", this.key);
		assertRefused(this.deployment.post(this.url + "/v1/chat/completions", CHAT_BODY.replace("hi", secret),
				"X-Api-Key", this.key), 400, "key_outside_header");
		assertRefused(
				this.deployment.post(this.url + "/v1/chat/completions?k=" + secret, CHAT_BODY, "X-Api-Key", this.key),
				400, "key_outside_header");
		assertRefused(this.deployment.post(this.url + "/v1/chat/completions", CHAT_BODY, "X-Api-Key", this.key,
				"X-Note", secret), 400, "key_outside_header");
		String seen = this.deployment.get(this.deployment.backendUrl("guide-1") + "/control/seen").body();
		assertTrue(seen.contains("guide-13b"));
		assertFalse(seen.contains(secret));
	}

	/**
	 * Request heads that two HTTP servers could parse differently, which allows request
	 * smuggling.
	 */
	@DataProvider
	public Object[][] ambiguousHeads() {
		String head = "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n";
		return new Object[][] { { head + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello" },
				{ head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" },
				{ head + "Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n" },
				{ head + "X-A: b\rX-C: d\r\nContent-Length: 0\r\n\r\n" },
				{ "POST /v1/chat/completions HTTP/1.1\nHost: a\nContent-Length: 0\n\n" },
				{ "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nHost: b\r\nContent-Length: 0\r\n\r\n" },
				{ head + "X-A : b\r\nContent-Length: 0\r\n\r\n" }, { head + "Content-Length: +5\r\n\r\nhello" } };
	}

	@Test(dataProvider = "ambiguousHeads")
	public void ambiguousHeadIsRefusedAndTheConnectionClosed(String request) throws IOException {
		try (Socket socket = new Socket("127.0.0.1", port())) {
			socket.setSoTimeout(5000);
			socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
			socket.getOutputStream().flush();
			String response = new String(readToEnd(socket.getInputStream()), StandardCharsets.ISO_8859_1);
			assertTrue(response.isEmpty() || response.startsWith("HTTP/1.1 400"), response);
		}
	}

	private int port() {
		return this.deployment.process("entry-a").ports().get(0);
	}

	private static byte[] readToEnd(InputStream in) throws IOException {
		return in.readAllBytes();
	}

	@Test
	public void incompleteRequestsHoldNoThread() throws Exception {
		Socket[] slow = new Socket[200];
		for (int i = 0; i < slow.length; i++) {
			slow[i] = new Socket("127.0.0.1", port());
			slow[i].getOutputStream()
				.write(("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Api-Key: " + this.key
						+ "\r\nContent-Length: 100\r\n\r\n{")
					.getBytes(StandardCharsets.ISO_8859_1));
		}
		long startedNanos = System.nanoTime();
		assertEquals(
				this.deployment.post(this.url + "/v1/chat/completions", CHAT_BODY, "X-Api-Key", this.key).statusCode(),
				200);
		assertTrue(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos) < 2000);
		for (Socket socket : slow) {
			socket.close();
		}
	}

	@Test
	public void slowHeadIsCutOff() throws Exception {
		try (Socket socket = new Socket("127.0.0.1", port())) {
			socket.setSoTimeout(8000);
			socket.getOutputStream().write("POST /v1/chat".getBytes(StandardCharsets.ISO_8859_1));
			// The read times out if the entry does not close the connection.
			assertTrue(readToEnd(socket.getInputStream()).length >= 0);
		}
	}

	@Test
	public void callerThatStopsSendingItsBodyIsCutOff() throws Exception {
		try (Socket socket = new Socket("127.0.0.1", port())) {
			socket.setSoTimeout(8000);
			socket.getOutputStream()
				.write(("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Api-Key: " + this.key
						+ "\r\nContent-Length: 100\r\n\r\n{")
					.getBytes(StandardCharsets.ISO_8859_1));
			String response = new String(readToEnd(socket.getInputStream()), StandardCharsets.ISO_8859_1);
			assertTrue(response.isEmpty() || response.contains("caller_too_slow"), response);
		}
	}

	@Test
	public void slowResponseIsNotCutByTheCallerTimeout() throws IOException {
		this.deployment.post(this.deployment.backendUrl("booking-1") + "/control/fault", "{\"delay_ms\":2500}");
		assertEquals(this.deployment.get(this.url + "/availability?slot=1", "X-Api-Key", this.key).statusCode(), 200);
		this.deployment.post(this.deployment.backendUrl("booking-1") + "/control/fault", "{\"delay_ms\":0}");
	}

	@Test
	public void allMistakesInSettingsAreReportedTogether() throws IOException {
		Path file = this.deployment.directory().resolve("bad.json");
		Files.writeString(file, "{\n \"proces\": \"x\",\n \"http_address\": \"localhost:80\"\n}");
		CommandResult result = this.deployment.runEntryMain("settings", "check", "--settings", file.toString());
		assertEquals(result.code(), 3);
		assertTrue(result.output().contains("bad.json:2:2: unknown field \"proces\"; did you mean \"process\"?"),
				result.output());
		assertTrue(result.output().contains("bad.json:3:18: \"http_address\" must be an IP number and a port"),
				result.output());
		assertTrue(result.output().contains("\"platform\" is missing"), result.output());
	}

	@Test
	public void unknownCommandAndMissingOptionAreUsageErrors() throws IOException {
		assertEquals(this.deployment.runEntryMain("frobnicate").code(), 2);
		assertEquals(this.deployment.runEntryMain("config", "publish").code(), 2);
		assertEquals(this.deployment.runEntryMain("key", "grant", "--help").code(), 0);
	}

	@Test
	public void configurationWithMistakesIsNotPublished() throws IOException {
		Path file = this.deployment.directory().resolve("config.json");
		Files.writeString(file, "{ \"deployment\": \"d\", \"servces\": [] }");
		CommandResult result = this.deployment.runCommand("config", "publish", "--file", file.toString(), "--author",
				"t");
		assertEquals(result.code(), 3);
		assertTrue(result.output().contains("config.json:1:22: unknown field \"servces\"; did you mean \"services\"?"),
				result.output());
	}

}
