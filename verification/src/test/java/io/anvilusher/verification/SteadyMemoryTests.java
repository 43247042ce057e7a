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
 * Tests that the heap of the entry and of the sidecar does not grow with the number of
 * requests served over persistent connections. It guards against state that is kept for a
 * request after its end.
 */
public class SteadyMemoryTests {

	private static final int CALLERS = 8;

	private static final int REQUESTS_PER_CALLER = 2500;

	/**
	 * Heap growth allowed for each request served. A leak that was fixed retained over 4
	 * KB for each request.
	 */
	private static final long MAX_BYTES_PER_REQUEST = 400;

	@Test
	public void heapDoesNotGrowWithTheRequestsServed() throws Exception {
		try (Deployment deployment = Deployment.start()) {
			JavaProcess sidecar = deployment.startPlainService("booking-1", "ro-central-a", "booking", 0);
			deployment.startEntry("entry-a", "ro-central-a");
			deployment.publish(ThinPathTests.EXAMPLES.resolve("alpaca-pasi.json"));
			String key = deployment.grantKey("paddock-gate");
			deployment.awaitServers("entry-a", 1);
			String sidecarAdmin = "http://127.0.0.1:" + sidecar.ports().get(1);
			runCallers(deployment, key);
			long entryBefore = heapUsedAfterGc(deployment, deployment.entryAdminUrl("entry-a"),
					deployment.process("entry-a"));
			long sidecarBefore = heapUsedAfterGc(deployment, sidecarAdmin, sidecar);
			runCallers(deployment, key);
			runCallers(deployment, key);
			long requests = 2L * CALLERS * REQUESTS_PER_CALLER;
			long entryGrowth = heapUsedAfterGc(deployment, deployment.entryAdminUrl("entry-a"),
					deployment.process("entry-a")) - entryBefore;
			long sidecarGrowth = heapUsedAfterGc(deployment, sidecarAdmin, sidecar) - sidecarBefore;
			assertTrue(entryGrowth < requests * MAX_BYTES_PER_REQUEST,
					"heap growth of the entry in bytes: " + entryGrowth);
			assertTrue(sidecarGrowth < requests * MAX_BYTES_PER_REQUEST,
					"heap growth of the sidecar in bytes: " + sidecarGrowth);
		}
	}

	private static long heapUsedAfterGc(Deployment deployment, String admin, JavaProcess process) throws Exception {
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

	private static void runCallers(Deployment deployment, String key) {
		IntStream.range(0, CALLERS)
			.mapToObj((caller) -> CompletableFuture.runAsync(() -> runCaller(deployment, key),
					(task) -> new Thread(task, "caller").start()))
			.toList()
			.forEach(CompletableFuture::join);
	}

	private static void runCaller(Deployment deployment, String key) {
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
