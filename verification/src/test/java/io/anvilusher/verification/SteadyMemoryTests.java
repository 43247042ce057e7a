package io.anvilusher.verification;

import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;

import org.testng.annotations.Test;

import io.anvilusher.deployment.Deployment;
import io.anvilusher.deployment.JavaProcess;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Requests over kept connections leave nothing behind, neither at the entry nor at the
 * sidecar.
 */
public class SteadyMemoryTests {

	private static final int CALLERS = 8;

	private static final int REQUESTS_PER_CALLER = 2500;

	/**
	 * What a request may leave in the heap; before the leak was mended it was over 4 KB.
	 */
	private static final long MAX_BYTES_PER_REQUEST = 400;

	@Test
	public void heapDoesNotGrowWithTheRequestsServed() throws Exception {
		try (Deployment deployment = Deployment.start()) {
			JavaProcess sidecar = deployment.startPlain("booking-1", "ro-central-a", "booking", 0);
			deployment.startEntry("entry-a", "ro-central-a");
			deployment.publish(ThinPathTests.EXAMPLES.resolve("alpaca-pasi.json"));
			String key = deployment.grant("paddock-gate");
			deployment.awaitServers("entry-a", 1);
			String sidecarAdmin = "http://127.0.0.1:" + sidecar.ports().get(1);
			load(deployment, key);
			long entryBefore = liveHeap(deployment, deployment.entryAdminUrl("entry-a"), deployment.process("entry-a"));
			long sidecarBefore = liveHeap(deployment, sidecarAdmin, sidecar);
			load(deployment, key);
			load(deployment, key);
			long requests = 2L * CALLERS * REQUESTS_PER_CALLER;
			long entryGrowth = liveHeap(deployment, deployment.entryAdminUrl("entry-a"), deployment.process("entry-a"))
					- entryBefore;
			long sidecarGrowth = liveHeap(deployment, sidecarAdmin, sidecar) - sidecarBefore;
			assertTrue(entryGrowth < requests * MAX_BYTES_PER_REQUEST, "entry grew by " + entryGrowth);
			assertTrue(sidecarGrowth < requests * MAX_BYTES_PER_REQUEST, "sidecar grew by " + sidecarGrowth);
		}
	}

	private static long liveHeap(Deployment deployment, String admin, JavaProcess process) throws Exception {
		int code = new ProcessBuilder("jcmd", String.valueOf(process.pid()), "GC.run").start().waitFor();
		assertEquals(code, 0);
		return deployment.get(admin + "/metrics")
			.body()
			.lines()
			.filter((line) -> line.startsWith("anvilusher_heap_used_bytes "))
			.mapToLong((line) -> (long) Double.parseDouble(line.split(" ")[1]))
			.findFirst()
			.orElseThrow();
	}

	private static void load(Deployment deployment, String key) {
		IntStream.range(0, CALLERS)
			.mapToObj((caller) -> CompletableFuture.runAsync(() -> call(deployment, key),
					(task) -> new Thread(task, "caller").start()))
			.toList()
			.forEach(CompletableFuture::join);
	}

	private static void call(Deployment deployment, String key) {
		HttpRequest request = Deployment.request(deployment.entryUrl("entry-a") + "/availability", "X-Api-Key", key)
			.GET()
			.build();
		try {
			for (int i = 0; i < REQUESTS_PER_CALLER; i++) {
				assertEquals(deployment.client().send(request, HttpResponse.BodyHandlers.discarding()).statusCode(),
						200);
			}
		}
		catch (IOException | InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
