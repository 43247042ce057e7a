package io.anvilusher.verification;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import io.anvilusher.deployment.Deployment;
import io.anvilusher.proofs.Fault;
import io.anvilusher.proofs.Promise;
import io.anvilusher.proofs.Proves;
import io.anvilusher.proofs.Step;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests that only the lease holder's engine orders and usage reports take effect, under
 * kills, pauses and faults of the log. Two entries compete for a short lease; one engine
 * rejects outdated fencing tokens, the other accepts any.
 */
public class AuthorityFaultTests {

	private static final long LEASE_MS = 1500;

	private static final String SHORT_LEASE_SETTINGS = ", \"control\": { \"lease_ms\": 1500, \"lease_margin_ms\": 500, "
			+ "\"usage_window_ms\": 1000 }";

	private static final List<String> ENTRIES = List.of("entry-a", "entry-b");

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private Deployment deployment;

	private String key;

	private int versions;

	@BeforeClass
	public void startDeployment() throws IOException {
		this.deployment = Deployment.start();
		this.deployment.startEngine("guide-1", "ro-central-a", "guide");
		this.deployment.startEngine("guide-2", "ro-central-b", "guide", "0", "false", "5", "0.01");
		for (String entry : ENTRIES) {
			startEntry(entry);
		}
		publishEngineVersion();
		this.key = this.deployment.grantKey("paddock-gate");
		for (String entry : ENTRIES) {
			this.deployment.awaitServers(entry, 2);
		}
	}

	@AfterClass(alwaysRun = true)
	public void stopDeployment() {
		this.deployment.close();
	}

	private void startEntry(String entry) throws IOException {
		this.deployment.startEntry(entry, entry.equals("entry-a") ? "ro-central-a" : "ro-central-b",
				this.deployment.platformUrl(), SHORT_LEASE_SETTINGS);
	}

	private String publishEngineVersion() throws IOException {
		String version = "v" + ++this.versions;
		String text = Files.readString(ThinPathTests.EXAMPLES.resolve("alpaca-pasi.json"));
		Path file = this.deployment.directory().resolve(version + ".json");
		Files.writeString(file, text.replace("\"models\": [\"guide-13b\"],",
				"\"models\": [\"guide-13b\"], \"engine\": { \"version\": \"" + version + "\" },"));
		this.deployment.publish(file);
		return version;
	}

	private String leaseHolder() {
		for (String entry : ENTRIES) {
			try {
				if (this.deployment.process(entry).isAlive()
						&& this.deployment.getJson(this.deployment.entryAdminUrl(entry) + "/status")
							.path("holds_lease")
							.asBoolean()) {
					return entry;
				}
			}
			catch (IOException ex) {
				// A paused entry does not respond; it is not taken for the holder.
			}
		}
		return "";
	}

	private String awaitLeaseHolder() {
		Deployment.await(() -> !leaseHolder().isEmpty(), 20_000);
		return leaseHolder();
	}

	private JsonNode engineState(String server) {
		try {
			return this.deployment.getJson(this.deployment.backendUrl(server) + "/admin/state");
		}
		catch (IOException ex) {
			return MAPPER.createObjectNode();
		}
	}

	private void awaitEngineVersion(String version) {
		for (String server : List.of("guide-1", "guide-2")) {
			Deployment.await(() -> engineState(server).path("target").path("version").asText().equals(version)
					&& !engineState(server).path("changing").asBoolean(), 40_000);
		}
	}

	private void assertNoConflictingOrders() throws IOException {
		for (String server : List.of("guide-1", "guide-2")) {
			long highestToken = 0;
			for (JsonNode order : this.deployment.getJson(this.deployment.backendUrl(server) + "/control/orders")) {
				assertTrue(!order.path("while_changing").asBoolean(), server + " " + order);
				assertTrue(order.path("fencing_token").asLong() >= highestToken, server + " " + order);
				highestToken = order.path("fencing_token").asLong();
			}
		}
	}

	@Test
	@Proves(promise = Promise.NO_CONFLICTING_ORDERS, fault = Fault.NONE, step = Step.ORDER_EXECUTION)
	public void eachEngineGetsEachOrderOnce() throws IOException {
		String version = publishEngineVersion();
		awaitEngineVersion(version);
		for (String server : List.of("guide-1", "guide-2")) {
			int deliveries = 0;
			for (JsonNode order : this.deployment.getJson(this.deployment.backendUrl(server) + "/control/orders")) {
				deliveries += order.path("target").path("version").asText().equals(version) ? 1 : 0;
			}
			assertEquals(deliveries, 1, server);
		}
		assertNoConflictingOrders();
	}

	@Test
	@Proves(promise = Promise.NO_CONFLICTING_ORDERS, fault = Fault.KILL, step = Step.ORDER_EXECUTION)
	@Proves(promise = Promise.NO_EFFECT_WITHOUT_AUTHORITY, fault = Fault.KILL, step = Step.ORDER_EXECUTION)
	public void sidecarKilledDuringAnOrderLeavesAKnownOutcome() throws IOException {
		for (String server : List.of("guide-1", "guide-2")) {
			this.deployment.post(this.deployment.backendUrl(server) + "/control/fault", "{\"change_ms\":1500}");
		}
		String version = publishEngineVersion();
		Deployment.await(() -> engineState("guide-2").path("changing").asBoolean()
				|| engineState("guide-1").path("changing").asBoolean(), 20_000);
		String changing = engineState("guide-1").path("changing").asBoolean() ? "guide-1" : "guide-2";
		this.deployment.process(changing).kill();
		this.deployment.startSidecar(changing, changing.equals("guide-1") ? "ro-central-a" : "ro-central-b", "guide");
		awaitEngineVersion(version);
		assertNoConflictingOrders();
		for (String server : List.of("guide-1", "guide-2")) {
			this.deployment.post(this.deployment.backendUrl(server) + "/control/fault", "{\"change_ms\":200}");
		}
	}

	@Test
	@Proves(promise = Promise.NO_CONFLICTING_ORDERS, fault = Fault.ENGINE_CRASH, step = Step.ORDER_EXECUTION)
	public void engineThatCrashesInAChangeIsOrderedAgain() throws IOException {
		this.deployment.post(this.deployment.backendUrl("guide-2") + "/control/fault", "{\"crash_in_change\":true}");
		String version = publishEngineVersion();
		Deployment.await(() -> !this.deployment.backend("guide-2").isAlive(), 20_000);
		this.deployment.restartEngine("guide-2", "false", "5", "0.01");
		awaitEngineVersion(version);
		assertNoConflictingOrders();
	}

	@Test
	@Proves(promise = Promise.ONE_ORDERING_PROCESS, fault = Fault.KILL, step = Step.LEASE_CLAIM)
	@Proves(promise = Promise.NO_EFFECT_WITHOUT_AUTHORITY, fault = Fault.KILL, step = Step.LEASE_CLAIM)
	public void killedHolderIsReplacedWithinTheLeaseAndThreeSeconds() throws IOException {
		String first = awaitLeaseHolder();
		this.deployment.process(first).kill();
		long startedNanos = System.nanoTime();
		Deployment.await(() -> !leaseHolder().isEmpty(), LEASE_MS + 3000);
		long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
		assertTrue(tookMs <= LEASE_MS + 3000, "take-over took " + tookMs + " ms");
		startEntry(first);
		this.deployment.awaitServers(first, 2);
	}

	@Test
	@Proves(promise = Promise.NO_EFFECT_WITHOUT_AUTHORITY, fault = Fault.PAUSE, step = Step.LEASE_CLAIM)
	@Proves(promise = Promise.NO_CONFLICTING_ORDERS, fault = Fault.PAUSE, step = Step.LEASE_RENEWAL)
	@Proves(promise = Promise.ONE_REPORT_PER_WINDOW, fault = Fault.PAUSE, step = Step.USAGE_SEAL)
	public void pausedHolderThatWakesUpHasNoEffect() throws IOException {
		for (int round = 0; round < 3; round++) {
			String first = awaitLeaseHolder();
			this.deployment.process(first).pause();
			String second = first.equals("entry-a") ? "entry-b" : "entry-a";
			Deployment.await(() -> leaseHolder().equals(second), LEASE_MS + 5000);
			String version = publishEngineVersion();
			chat(second);
			this.deployment.process(first).resume();
			awaitEngineVersion(version);
		}
		assertNoConflictingOrders();
		assertUsageReportsAgree();
	}

	@Test
	@Proves(promise = Promise.NO_CONFLICTING_ORDERS, fault = Fault.LOG_OUTAGE, step = Step.ORDER_INTENT)
	@Proves(promise = Promise.NO_CONFLICTING_ORDERS, fault = Fault.LOST_ANSWER, step = Step.ORDER_START)
	public void ordersSurviveOutageAndLostAnswersOfTheLog() throws Exception {
		awaitLeaseHolder();
		this.deployment.setPlatformFaults("{\"log_down\":true}");
		TimeUnit.MILLISECONDS.sleep(2 * LEASE_MS);
		this.deployment.setPlatformFaults("{\"log_down\":false}");
		awaitLeaseHolder();
		this.deployment.setPlatformFaults("{\"lose_append_answers\":6}");
		String version = publishEngineVersion();
		awaitEngineVersion(version);
		assertNoConflictingOrders();
	}

	private void chat(String entry) throws IOException {
		assertEquals(this.deployment
			.post(this.deployment.entryUrl(entry) + "/v1/chat/completions",
					"{\"model\":\"guide-13b\",\"max_tokens\":3,\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}",
					"X-Api-Key", this.key)
			.statusCode(), 200);
	}

	private void assertUsageReportsAgree() throws IOException {
		Map<String, Set<String>> bodiesByWindow = new HashMap<>();
		long highestToken = 0;
		for (JsonNode call : this.deployment.getJson(this.deployment.platformUrl() + "/control/calls")) {
			if (call.path("path").asText().startsWith("/usage/")) {
				bodiesByWindow.computeIfAbsent(call.path("path").asText(), (path) -> new HashSet<>())
					.add(call.path("body").asText());
				assertTrue(call.path("fencing-token").asLong() >= highestToken, call.toString());
				highestToken = call.path("fencing-token").asLong();
			}
		}
		bodiesByWindow.forEach((window, bodies) -> assertEquals(bodies.size(), 1, window + " " + bodies));
	}

	@Test
	@Proves(promise = Promise.ONE_REPORT_PER_WINDOW, fault = Fault.LOST_ANSWER, step = Step.USAGE_REPORT)
	@Proves(promise = Promise.ONE_REPORT_PER_WINDOW, fault = Fault.KILL, step = Step.USAGE_REPORT)
	public void everyRequestIsReportedOnceThroughAKillOfTheHolderAndLostAnswers() throws IOException {
		long before = reportedRequests();
		String first = awaitLeaseHolder();
		String second = first.equals("entry-a") ? "entry-b" : "entry-a";
		this.deployment.setPlatformFaults("{\"lose_call_answers\":2}");
		for (int i = 0; i < 20; i++) {
			chat(second);
		}
		this.deployment.process(first).kill();
		for (int i = 0; i < 20; i++) {
			chat(second);
		}
		Deployment.await(() -> reportedRequests() - before >= 40, 60_000);
		assertEquals(reportedRequests() - before, 40);
		assertUsageReportsAgree();
		startEntry(first);
		this.deployment.awaitServers(first, 2);
	}

	private long reportedRequests() {
		try {
			Map<String, Long> requestsByWindow = new HashMap<>();
			for (JsonNode call : this.deployment.getJson(this.deployment.platformUrl() + "/control/calls")) {
				if (call.path("path").asText().startsWith("/usage/")) {
					long requests = 0;
					for (JsonNode line : MAPPER.readTree(call.path("body").asText()).path("usage")) {
						requests += line.path("requests").asLong();
					}
					requestsByWindow.put(call.path("path").asText(), requests);
				}
			}
			return requestsByWindow.values().stream().mapToLong(Long::longValue).sum();
		}
		catch (IOException ex) {
			return -1;
		}
	}

}
