package io.anvilusher.verification;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.file.Path;

import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import io.anvilusher.deployment.Deployment;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests one request of each kind on its path through an entry and a sidecar to a backend
 * server, without faults.
 */
public class ThinPathTests {

	static final Path EXAMPLES = Path.of(System.getProperty("basedir", "."), "../examples");

	private Deployment deployment;

	private String key;

	@BeforeClass
	public void startDeployment() throws IOException {
		this.deployment = Deployment.start();
		this.deployment.startEngine("guide-1", "ro-central-a", "guide");
		this.deployment.startPlainService("booking-1", "ro-central-a", "booking", 0);
		this.deployment.startEntry("entry-a", "ro-central-a");
		this.deployment.publish(EXAMPLES.resolve("alpaca-pasi.json"));
		this.key = this.deployment.grantKey("paddock-gate");
		this.deployment.awaitServers("entry-a", 2);
	}

	@AfterClass(alwaysRun = true)
	public void stopDeployment() {
		this.deployment.close();
	}

	@Test
	public void streamedChatArrivesComplete() throws IOException {
		HttpResponse<String> response = this.deployment.post(
				this.deployment.entryUrl("entry-a") + "/v1/chat/completions",
				"{\"model\":\"guide-13b\",\"stream\":true,\"max_tokens\":3,\"user\":\"x\",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}",
				"Authorization", "Bearer " + this.key);
		assertEquals(response.statusCode(), 200);
		assertTrue(response.body().contains("x-0 ") && response.body().contains("x-2 "));
		assertTrue(response.body().endsWith("data: [DONE]\n\n"));
	}

	@Test
	public void unstreamedChatHasAContentLength() throws IOException {
		HttpResponse<String> response = this.deployment.post(
				this.deployment.entryUrl("entry-a") + "/v1/chat/completions",
				"{\"model\":\"guide-13b\",\"max_tokens\":3,\"user\":\"y\",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}",
				"X-Api-Key", this.key);
		assertEquals(response.statusCode(), 200);
		assertTrue(response.headers().firstValue("content-length").isPresent());
		assertTrue(response.body().contains("y-0 y-1 y-2 "));
	}

	@Test
	public void plainServiceIsReachedByItsRoute() throws IOException {
		HttpResponse<String> response = this.deployment.get(
				this.deployment.entryUrl("entry-a") + "/availability?slot=sun-9", "Authorization",
				"Bearer " + this.key);
		assertEquals(response.statusCode(), 200);
		assertTrue(response.body().contains("sun-9"));
	}

	@Test
	public void repeatedBookingGetsTheFirstResponse() throws IOException {
		String url = this.deployment.entryUrl("entry-a") + "/bookings";
		String[] headers = { "Authorization", "Bearer " + this.key, "Idempotency-Key", "b-1" };
		HttpResponse<String> first = this.deployment.post(url, "{\"family\":\"Pop\"}", headers);
		HttpResponse<String> second = this.deployment.post(url, "{\"family\":\"Pop\"}", headers);
		assertEquals(first.statusCode(), 201);
		assertEquals(second.body(), first.body());
	}

}
