package io.anvilusher.verification;

import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

import com.fasterxml.jackson.databind.JsonNode;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import io.anvilusher.deployment.Deployment;
import io.anvilusher.deployment.JavaProcess;
import io.anvilusher.proofs.Fault;
import io.anvilusher.proofs.Promise;
import io.anvilusher.proofs.Proves;
import io.anvilusher.proofs.Step;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests that no stream is cut while entries, sidecars and engines are replaced in turn,
 * or a server leaves, under load.
 */
public class PlannedStopTests {

	private Deployment deployment;

	private String key;

	private final AtomicInteger completeStreams = new AtomicInteger();

	private final AtomicInteger incompleteStreams = new AtomicInteger();

	private volatile List<String> entries = List.of();

	private volatile String lastFailure = "";

	@BeforeClass
	public void startDeployment() throws IOException {
		this.deployment = Deployment.start();
		this.deployment.startEngine("guide-1", "ro-central-a", "guide", "0", "true", "20", "0.01");
		this.deployment.startEngine("guide-2", "ro-central-b", "guide", "0", "true", "20", "0.01");
		this.deployment.startEngine("guide-3", "ro-central-c", "guide", "0", "true", "20", "0.01");
		this.deployment.startEntry("entry-a", "ro-central-a");
		this.deployment.startEntry("entry-b", "ro-central-b");
		this.deployment.publish(ThinPathTests.EXAMPLES.resolve("alpaca-pasi.json"));
		this.key = this.deployment.grantKey("paddock-gate");
		this.deployment.awaitServers("entry-a", 3);
		this.deployment.awaitServers("entry-b", 3);
		this.entries = List.of("entry-a", "entry-b");
	}

	@AfterClass(alwaysRun = true)
	public void stopDeployment() {
		this.deployment.close();
	}

	private void streamChat(int caller, int round) {
		List<String> targets = this.entries;
		String entry = targets.get((caller + round) % targets.size());
		String tag = "c" + caller + "r" + round;
		int tokens = 20 + (caller * 7 + round) % 60;
		try {
			HttpRequest request = Deployment
				.request(this.deployment.entryUrl(entry) + "/v1/chat/completions", "X-Api-Key", this.key)
				.POST(HttpRequest.BodyPublishers
					.ofString("{\"model\":\"guide-13b\",\"stream\":true,\"max_tokens\":" + tokens + ",\"user\":\"" + tag
							+ "\",\"messages\":[{\"role\":\"user\",\"content\":\"" + tag + "\"}]}"))
				.build();
			HttpResponse<String> response = this.deployment.client()
				.send(request, HttpResponse.BodyHandlers.ofString());
			boolean complete = response.statusCode() == 200 && response.body().endsWith("data: [DONE]\n\n")
					&& IntStream.range(0, tokens)
						.allMatch((i) -> response.body().contains("\"" + tag + "-" + i + " \""));
			recordResult(complete, entry + " " + response.statusCode() + " " + response.body());
		}
		catch (IOException | InterruptedException ex) {
			recordResult(false, entry + " " + ex);
		}
	}

	private void recordResult(boolean complete, String failure) {
		(complete ? this.completeStreams : this.incompleteStreams).incrementAndGet();
		if (!complete) {
			this.lastFailure = failure;
		}
	}

	private void underLoad(Action action) throws Exception {
		AtomicBoolean stop = new AtomicBoolean();
		this.completeStreams.set(0);
		this.incompleteStreams.set(0);
		List<CompletableFuture<Void>> callers = IntStream.range(0, 16)
			.mapToObj((caller) -> CompletableFuture.runAsync(() -> {
				for (int round = 0; !stop.get(); round++) {
					streamChat(caller, round);
				}
			}, (task) -> new Thread(task, "caller").start()))
			.toList();
		TimeUnit.SECONDS.sleep(1);
		try {
			action.run();
			TimeUnit.SECONDS.sleep(1);
		}
		finally {
			stop.set(true);
			callers.forEach(CompletableFuture::join);
		}
		assertTrue(this.completeStreams.get() > 16, "too few complete responses: " + this.completeStreams);
		assertEquals(this.incompleteStreams.get(), 0, this.lastFailure);
	}

	private static void terminate(JavaProcess process) throws IOException {
		process.terminate();
		assertEquals(process.awaitExit(), 0);
	}

	@Test
	@Proves(promise = Promise.GRACEFUL_SHUTDOWN, fault = Fault.PLANNED_STOP, step = Step.ANSWER_STREAMING)
	@Proves(promise = Promise.GRACEFUL_SHUTDOWN, fault = Fault.PLANNED_STOP, step = Step.REQUEST_RECEIVED)
	@Proves(promise = Promise.NO_CUT_BY_PLANNED_CHANGE, fault = Fault.PLANNED_STOP, step = Step.REQUEST_RECEIVED)
	public void replacementOfEachEntryCutsNothing() throws Exception {
		underLoad(() -> {
			for (String entry : List.of("entry-a", "entry-b")) {
				// Takes the part of a load balancer, which sends nothing to an entry that
				// is not ready.
				this.entries = List.of(entry.equals("entry-a") ? "entry-b" : "entry-a");
				terminate(this.deployment.process(entry));
				this.deployment.startEntry(entry, entry.equals("entry-a") ? "ro-central-a" : "ro-central-b");
				this.deployment.awaitServers(entry, 3);
				this.entries = List.of("entry-a", "entry-b");
			}
		});
	}

	@Test
	@Proves(promise = Promise.GRACEFUL_SHUTDOWN, fault = Fault.PLANNED_STOP, step = Step.ATTEMPT_DISPATCHED)
	@Proves(promise = Promise.NO_CUT_BY_PLANNED_CHANGE, fault = Fault.PLANNED_STOP, step = Step.ATTEMPT_DISPATCHED)
	@Proves(promise = Promise.NO_CUT_BY_PLANNED_CHANGE, fault = Fault.PLANNED_STOP, step = Step.ANSWER_STREAMING)
	public void replacementOfEachSidecarCutsNothing() throws Exception {
		underLoad(() -> {
			for (String server : List.of("guide-1", "guide-2", "guide-3")) {
				terminate(this.deployment.process(server));
				this.deployment.startSidecar(server, "ro-central-a", "guide");
				this.deployment.awaitServers("entry-a", 3);
				this.deployment.awaitServers("entry-b", 3);
			}
		});
	}

	@Test
	@Proves(promise = Promise.NO_CUT_BY_PLANNED_CHANGE, fault = Fault.PLANNED_STOP, step = Step.ORDER_EXECUTION)
	public void changeOfEachEngineCutsNothing() throws Exception {
		underLoad(() -> {
			String text = Files.readString(ThinPathTests.EXAMPLES.resolve("alpaca-pasi.json"));
			Path file = this.deployment.directory().resolve("engines.json");
			Files.writeString(file, text.replace("\"models\": [\"guide-13b\"],",
					"\"models\": [\"guide-13b\"], \"engine\": { \"version\": \"v2\" },"));
			this.deployment.publish(file);
			for (String server : List.of("guide-1", "guide-2", "guide-3")) {
				Deployment.await(() -> engineVersion(server).equals("v2"), 60_000);
			}
		});
	}

	private String engineVersion(String server) {
		try {
			return this.deployment.getJson(this.deployment.backendUrl(server) + "/admin/state")
				.path("target")
				.path("version")
				.asText();
		}
		catch (IOException ex) {
			return "";
		}
	}

	@Test(dependsOnMethods = { "replacementOfEachEntryCutsNothing", "replacementOfEachSidecarCutsNothing",
			"changeOfEachEngineCutsNothing" })
	@Proves(promise = Promise.LEAVING_SERVER_DRAINED, fault = Fault.NONE, step = Step.VM_LIST_READ)
	@Proves(promise = Promise.LEAVING_SERVER_DRAINED, fault = Fault.PLANNED_STOP, step = Step.ATTEMPT_DISPATCHED)
	public void leavingServerGetsNoNewWorkWithinFiveSecondsAndFinishesWhatItHas() throws Exception {
		underLoad(() -> {
			this.deployment.setLeaving("guide-1");
			Deployment.await(() -> runningRequests("guide-1") == 0, 5000 + 2000);
			TimeUnit.SECONDS.sleep(2);
			assertEquals(runningRequests("guide-1"), 0);
		});
	}

	private int runningRequests(String server) {
		try {
			JsonNode state = this.deployment.getJson(this.deployment.backendUrl(server) + "/admin/state");
			return state.path("running").asInt();
		}
		catch (IOException ex) {
			return -1;
		}
	}

	@FunctionalInterface
	private interface Action {

		void run() throws Exception;

	}

}
