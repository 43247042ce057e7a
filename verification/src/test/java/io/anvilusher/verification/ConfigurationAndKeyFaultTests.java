package io.anvilusher.verification;

import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import io.anvilusher.deployment.Deployment;
import io.anvilusher.deployment.Deployment.CommandResult;
import io.anvilusher.deployment.PartitionProxy;
import io.anvilusher.proofs.Fault;
import io.anvilusher.proofs.Promise;
import io.anvilusher.proofs.Proves;
import io.anvilusher.proofs.Step;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests that configurations and changes of keys take effect in all entries in time, also
 * while the log fails. The third of the three entries reaches the platform through a
 * proxy that can block the connection.
 */
public class ConfigurationAndKeyFaultTests {

	/**
	 * Time within which a configuration or a change of a key takes effect in every entry.
	 */
	private static final long IN_FORCE_TIMEOUT_MS = 5000;

	private static final List<String> ENTRIES = List.of("entry-a", "entry-b", "entry-c");

	private Deployment deployment;

	private PartitionProxy proxy;

	private String key;

	@BeforeClass
	public void startDeployment() throws IOException {
		this.deployment = Deployment.start();
		this.proxy = PartitionProxy.to(this.deployment.platform().ports().get(0));
		this.deployment.startEngine("guide-1", "ro-central-a", "guide", "0", "true", "40", "0.01");
		this.deployment.startEntry("entry-a", "ro-central-a");
		this.deployment.startEntry("entry-b", "ro-central-b");
		this.deployment.startEntry("entry-c", "ro-central-c", this.proxy.url(), "");
		this.deployment.publish(ThinPathTests.EXAMPLES.resolve("alpaca-pasi.json"));
		this.key = this.deployment.grantKey("paddock-gate");
		for (String entry : ENTRIES) {
			this.deployment.awaitServers(entry, 1);
		}
	}

	@AfterClass(alwaysRun = true)
	public void stopDeployment() throws IOException {
		this.deployment.close();
		this.proxy.close();
	}

	private int chat(String entry, String withKey) throws IOException {
		return this.deployment
			.post(this.deployment.entryUrl(entry) + "/v1/chat/completions",
					"{\"model\":\"guide-13b\",\"max_tokens\":1,\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}",
					"X-Api-Key", withKey)
			.statusCode();
	}

	private long configurationVersion(String entry) {
		try {
			return this.deployment.getJson(this.deployment.entryAdminUrl(entry) + "/status")
				.path("configuration_version")
				.asLong();
		}
		catch (IOException ex) {
			return -1;
		}
	}

	private Path writeEditedExample(String name, String from, String to) throws IOException {
		String text = Files.readString(ThinPathTests.EXAMPLES.resolve("alpaca-pasi.json"));
		Path file = this.deployment.directory().resolve(name);
		Files.writeString(file, text.replace(from, to));
		return file;
	}

	private static long publishedVersion(CommandResult result) {
		return Long.parseLong(result.outputOrThrow().strip().replace("version ", ""));
	}

	private void awaitVersion(String entry, long version) {
		Deployment.await(() -> configurationVersion(entry) >= version, IN_FORCE_TIMEOUT_MS);
	}

	@Test
	@Proves(promise = Promise.CONFIGURATION_IN_FORCE, fault = Fault.NONE, step = Step.CONFIG_APPLY)
	@Proves(promise = Promise.CONFIGURATION_IN_FORCE, fault = Fault.PARTITION, step = Step.CONFIG_APPEND)
	public void versionIsInForceWithinFiveSecondsAlsoWhereTheLogIsOutOfReach() throws IOException {
		this.proxy.block(true, true);
		try {
			long version = publishedVersion(this.deployment.runCommand("config", "publish", "--file",
					writeEditedExample("c1.json", "\"weight\": 4", "\"weight\": 5").toString(), "--author", "t"));
			for (String entry : ENTRIES) {
				awaitVersion(entry, version);
			}
		}
		finally {
			this.proxy.block(false, false);
		}
	}

	@Test
	@Proves(promise = Promise.CONFIGURATION_IN_FORCE, fault = Fault.RACE, step = Step.CONFIG_APPLY)
	public void racingOperatorsGetOneWinnerAndOneClearRefusal() throws Exception {
		String base = String.valueOf(configurationVersion("entry-a"));
		CompletableFuture<CommandResult> first = publishAsync("r1.json", "\"weight\": 6", "ana", base);
		CompletableFuture<CommandResult> second = publishAsync("r2.json", "\"weight\": 7", "ben", base);
		CommandResult firstResult = first.get(30, TimeUnit.SECONDS);
		CommandResult secondResult = second.get(30, TimeUnit.SECONDS);
		CommandResult refusedResult = (firstResult.code() == 0) ? secondResult : firstResult;
		CommandResult acceptedResult = (firstResult.code() == 0) ? firstResult : secondResult;
		assertEquals(acceptedResult.code(), 0, acceptedResult.output());
		assertEquals(refusedResult.code(), 4, refusedResult.output());
		long version = publishedVersion(acceptedResult);
		assertTrue(refusedResult.output().contains("version " + version + " by "), refusedResult.output());
	}

	private CompletableFuture<CommandResult> publishAsync(String name, String weight, String author, String base) {
		return CompletableFuture.supplyAsync(() -> {
			try {
				return this.deployment.runCommand("config", "publish", "--file",
						writeEditedExample(name, "\"weight\": 4", weight).toString(), "--author", author, "--based-on",
						base);
			}
			catch (IOException ex) {
				throw new IllegalStateException(ex);
			}
		});
	}

	@Test
	@Proves(promise = Promise.CONFIGURATION_IN_FORCE, fault = Fault.LOST_ANSWER, step = Step.CONFIG_APPLY)
	public void lostAnswersOfTheLogDoNotLoseOrDoubleAVersion() throws IOException {
		this.deployment.setPlatformFaults("{\"lose_append_answers\":2}");
		long version = publishedVersion(this.deployment.runCommand("config", "publish", "--file",
				writeEditedExample("l.json", "\"weight\": 4", "\"weight\": 8").toString(), "--author", "t"));
		awaitVersion("entry-a", version);
		assertEquals(configurationVersion("entry-a"), version);
	}

	@Test
	@Proves(promise = Promise.CONFIGURATION_IN_FORCE, fault = Fault.LOG_OUTAGE, step = Step.CONFIG_APPEND)
	public void outageOfTheLogLeavesItUndecidedAndCutsNoTraffic() throws IOException {
		this.deployment.setPlatformFaults("{\"log_down\":true}");
		try {
			assertEquals(chat("entry-a", this.key), 200);
			CommandResult result = this.deployment.runCommand("config", "publish", "--file",
					writeEditedExample("o.json", "\"weight\": 4", "\"weight\": 9").toString(), "--author", "t",
					"--timeout-ms", "1500");
			assertNotEquals(result.code(), 0);
			sleep(5000);
			for (String entry : ENTRIES) {
				assertEquals(chat(entry, this.key), 200, entry);
			}
		}
		finally {
			this.deployment.setPlatformFaults("{\"log_down\":false}");
		}
		Deployment.await(() -> ready("entry-a"), 5000);
	}

	private boolean ready(String entry) {
		try {
			return this.deployment.get(this.deployment.entryAdminUrl(entry) + "/readyz").statusCode() == 200;
		}
		catch (IOException ex) {
			return false;
		}
	}

	@Test
	@Proves(promise = Promise.CONFIGURATION_IN_FORCE, fault = Fault.KILL, step = Step.CONFIG_APPLY)
	@Proves(promise = Promise.CONFIGURATION_IN_FORCE, fault = Fault.LOG_OUTAGE, step = Step.CONFIG_APPLY)
	public void entryThatStartsDuringAnOutageServesNoOlderVersion() throws IOException {
		long version = publishedVersion(this.deployment.runCommand("config", "publish", "--file",
				writeEditedExample("k.json", "\"weight\": 4", "\"weight\": 11").toString(), "--author", "t"));
		for (String entry : ENTRIES) {
			awaitVersion(entry, version);
		}
		this.deployment.setPlatformFaults("{\"log_down\":true}");
		try {
			this.deployment.process("entry-b").kill();
			this.deployment.startEntry("entry-b", "ro-central-b");
			Deployment.await(() -> configurationVersion("entry-b") > 0, 10_000);
			assertEquals(configurationVersion("entry-b"), version);
		}
		finally {
			this.deployment.setPlatformFaults("{\"log_down\":false}");
		}
		this.deployment.awaitServers("entry-b", 1);
	}

	@Test
	@Proves(promise = Promise.KEYS_BIND_WORKSPACE, fault = Fault.NONE, step = Step.KEY_CHANGE)
	@Proves(promise = Promise.KEYS_BIND_WORKSPACE, fault = Fault.PARTITION, step = Step.KEY_CHANGE)
	public void withdrawnKeyStopsOnEveryEntryThatReachesTheLogOrAPeer() throws IOException {
		String withdrawnKey = this.deployment.grantKey("paddock-gate");
		for (String entry : ENTRIES) {
			Deployment.await(() -> status(entry, withdrawnKey) == 200, IN_FORCE_TIMEOUT_MS);
		}
		this.proxy.block(false, true);
		try {
			this.deployment.runCommand("key", "withdraw", "--key", withdrawnKey).outputOrThrow();
			for (String entry : ENTRIES) {
				Deployment.await(() -> status(entry, withdrawnKey) == 401, IN_FORCE_TIMEOUT_MS);
			}
		}
		finally {
			this.proxy.block(false, false);
		}
	}

	private int status(String entry, String withKey) {
		try {
			return chat(entry, withKey);
		}
		catch (IOException ex) {
			return -1;
		}
	}

	@Test
	@Proves(promise = Promise.KEYS_BIND_WORKSPACE, fault = Fault.NONE, step = Step.ANSWER_STREAMING)
	public void withdrawnKeyEndsAStreamThatRuns() throws Exception {
		String withdrawnKey = this.deployment.grantKey("paddock-gate");
		Deployment.await(() -> status("entry-a", withdrawnKey) == 200, IN_FORCE_TIMEOUT_MS);
		CompletableFuture<HttpResponse<String>> stream = this.deployment.client()
			.sendAsync(Deployment
				.request(this.deployment.entryUrl("entry-a") + "/v1/chat/completions", "X-Api-Key", withdrawnKey)
				.POST(HttpRequest.BodyPublishers.ofString(
						"{\"model\":\"guide-13b\",\"stream\":true,\"max_tokens\":1000,\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}"))
				.build(), HttpResponse.BodyHandlers.ofString());
		sleep(300);
		long startedNanos = System.nanoTime();
		this.deployment.runCommand("key", "withdraw", "--key", withdrawnKey).outputOrThrow();
		String received = stream.handle((response, failure) -> (failure != null) ? "cut" : response.body())
			.get(30, TimeUnit.SECONDS);
		assertTrue(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos) < IN_FORCE_TIMEOUT_MS + 2000);
		assertFalse(received.contains("[DONE]"));
	}

	private static void sleep(long ms) {
		try {
			TimeUnit.MILLISECONDS.sleep(ms);
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
