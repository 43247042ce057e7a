package io.anvilusher.verification;

import java.io.IOException;
import java.net.http.HttpResponse;

import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import io.anvilusher.deployment.Deployment;
import io.anvilusher.proofs.Fault;
import io.anvilusher.proofs.Promise;
import io.anvilusher.proofs.Proves;
import io.anvilusher.proofs.Step;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests that a caller gets a complete response or sees that it is incomplete, when an
 * engine cuts a stream or a sidecar is killed or paused during a request.
 */
public class AnswerFaultTests {

	private Deployment deployment;

	private String key;

	@BeforeClass
	public void startDeployment() throws IOException {
		this.deployment = Deployment.start();
		this.deployment.startEngine("guide-1", "ro-central-a", "guide", "0", "true", "20", "0.01");
		this.deployment.startEngine("guide-2", "ro-central-b", "guide", "0", "true", "20", "0.01");
		this.deployment.startEntry("entry-a", "ro-central-a");
		this.deployment.publish(ThinPathTests.EXAMPLES.resolve("alpaca-pasi.json"));
		this.key = this.deployment.grantKey("paddock-gate");
		this.deployment.awaitServers("entry-a", 2);
	}

	@AfterClass(alwaysRun = true)
	public void stopDeployment() {
		this.deployment.close();
	}

	private HttpResponse<String> chat(boolean stream, int tokens, String tag) throws IOException {
		return this.deployment
			.post(this.deployment.entryUrl("entry-a") + "/v1/chat/completions",
					"{\"model\":\"guide-13b\",\"stream\":" + stream + ",\"max_tokens\":" + tokens + ",\"user\":\"" + tag
							+ "\",\"messages\":[{\"role\":\"user\",\"content\":\"" + tag + "\"}]}",
					"X-Api-Key", this.key);
	}

	private void cutStreamsAfter(int tokens) throws IOException {
		for (String server : new String[] { "guide-1", "guide-2" }) {
			this.deployment.post(this.deployment.backendUrl(server) + "/control/fault",
					"{\"cut_after_tokens\":" + tokens + "}");
		}
	}

	@Test
	@Proves(promise = Promise.WHOLE_OWN_ANSWER, fault = Fault.PARTITION, step = Step.ANSWER_STREAMING)
	public void streamThatTheEngineCutsIsNeverMadeToLookWhole() throws IOException {
		cutStreamsAfter(5);
		try {
			String received = chat(true, 50, "cut").body();
			assertFalse(received.contains("[DONE]"));
			assertTrue(received.contains("\"error\""), received);
		}
		catch (IOException ex) {
			// The HTTP client reported that the body ended early, so the caller sees the
			// cut.
			assertTrue(true);
		}
		finally {
			cutStreamsAfter(Integer.MAX_VALUE);
		}
	}

	@Test
	@Proves(promise = Promise.WHOLE_OWN_ANSWER, fault = Fault.KILL, step = Step.ATTEMPT_STARTED)
	public void answerThatHasNotBegunIsTakenFromAnotherServerWhenASidecarDies() throws Exception {
		Thread killer = new Thread(() -> {
			try {
				Thread.sleep(400);
				String busy = (runningRequests("guide-1") > 0) ? "guide-1" : "guide-2";
				this.deployment.process(busy).kill();
				Thread.sleep(200);
				this.deployment.startSidecar(busy, "ro-central-a", "guide");
			}
			catch (InterruptedException | IOException ex) {
				throw new IllegalStateException(ex);
			}
		});
		killer.start();
		HttpResponse<String> response = chat(false, 60, "moved");
		killer.join();
		assertEquals(response.statusCode(), 200, response.body());
		assertTrue(response.body().contains("moved-59 "));
		this.deployment.awaitServers("entry-a", 2);
	}

	private int runningRequests(String server) throws IOException {
		return this.deployment.getJson(this.deployment.backendUrl(server) + "/admin/state").path("running").asInt();
	}

	@Test
	@Proves(promise = Promise.WHOLE_OWN_ANSWER, fault = Fault.PAUSE, step = Step.ATTEMPT_DISPATCHED)
	public void pausedSidecarDelaysNoCallerForLong() throws Exception {
		this.deployment.process("guide-1").pause();
		try {
			for (int i = 0; i < 6; i++) {
				assertEquals(chat(false, 2, "p" + i).statusCode(), 200);
			}
		}
		finally {
			this.deployment.process("guide-1").resume();
		}
		this.deployment.awaitServers("entry-a", 2);
	}

}
