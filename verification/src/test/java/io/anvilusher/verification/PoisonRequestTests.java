package io.anvilusher.verification;

import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

import org.testng.annotations.Test;

import io.anvilusher.deployment.Deployment;
import io.anvilusher.proofs.Fault;
import io.anvilusher.proofs.Promise;
import io.anvilusher.proofs.Proves;
import io.anvilusher.proofs.Step;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests that a request that crashes every engine it runs on is refused before it has
 * crashed more than two of them, and that the requests of other callers are answered
 * meanwhile.
 */
public class PoisonRequestTests {

	private static final List<String> SERVERS = List.of("guide-1", "guide-2", "guide-3", "guide-4");

	private static final int OTHER_CALLERS = 12;

	@Test
	@Proves(promise = Promise.WHOLE_OWN_ANSWER, fault = Fault.ENGINE_CRASH, step = Step.ATTEMPT_STARTED)
	public void poisonCrashesAtMostTwoServersAndInnocentsAreAnswered() throws Exception {
		try (Deployment deployment = Deployment.start()) {
			for (String server : SERVERS) {
				deployment.startEngine(server, "ro-central-a", "guide", "0", "true", "10", "0.01");
			}
			deployment.startEntry("entry-a", "ro-central-a");
			deployment.startEntry("entry-b", "ro-central-a");
			deployment.publish(ThinPathTests.EXAMPLES.resolve("alpaca-pasi.json"));
			String key = deployment.grantKey("paddock-gate");
			deployment.awaitServers("entry-a", SERVERS.size());
			deployment.awaitServers("entry-b", SERVERS.size());
			AtomicBoolean stop = new AtomicBoolean();
			AtomicInteger crashes = new AtomicInteger();
			AtomicInteger answered = new AtomicInteger();
			AtomicInteger failed = new AtomicInteger();
			CompletableFuture<Void> supervisor = CompletableFuture
				.runAsync(() -> restartCrashedEngines(deployment, stop, crashes));
			List<CompletableFuture<Void>> otherCallers = IntStream.range(0, OTHER_CALLERS)
				.mapToObj((caller) -> CompletableFuture.runAsync(() -> {
					for (int round = 0; !stop.get(); round++) {
						int status = chat(deployment, (round % 2 == 0) ? "entry-a" : "entry-b", key,
								"innocent " + caller + " " + round, 15);
						((status == 200) ? answered : failed).incrementAndGet();
					}
				}, (task) -> new Thread(task, "caller").start()))
				.toList();
			TimeUnit.SECONDS.sleep(1);
			int lastStatus = 0;
			for (int send = 0; send < 8; send++) {
				lastStatus = chat(deployment, (send % 2 == 0) ? "entry-a" : "entry-b", key, "crash-the-engine", 5);
			}
			TimeUnit.SECONDS.sleep(2);
			stop.set(true);
			otherCallers.forEach(CompletableFuture::join);
			supervisor.join();
			assertEquals(lastStatus, 422);
			assertTrue(crashes.get() <= 2, "crashed servers: " + crashes);
			assertTrue(crashes.get() >= 1, "the crashing request reached no engine");
			assertEquals(failed.get(), 0, "requests of other callers failed; answered: " + answered);
		}
	}

	private static int chat(Deployment deployment, String entry, String key, String content, int tokens) {
		HttpRequest request = Deployment.request(deployment.entryUrl(entry) + "/v1/chat/completions", "X-Api-Key", key)
			.POST(HttpRequest.BodyPublishers.ofString("{\"model\":\"guide-13b\",\"max_tokens\":" + tokens
					+ ",\"messages\":[{\"role\":\"user\",\"content\":\"" + content + "\"}]}"))
			.build();
		try {
			return deployment.client().send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
		}
		catch (IOException ex) {
			return -1;
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static void restartCrashedEngines(Deployment deployment, AtomicBoolean stop, AtomicInteger crashes) {
		while (!stop.get()) {
			for (String server : SERVERS) {
				if (!deployment.backend(server).isAlive()) {
					crashes.incrementAndGet();
					restart(deployment, server);
				}
			}
			sleepBriefly();
		}
	}

	private static void restart(Deployment deployment, String server) {
		try {
			deployment.restartEngine(server, "true", "10", "0.01");
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static void sleepBriefly() {
		try {
			TimeUnit.MILLISECONDS.sleep(20);
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
