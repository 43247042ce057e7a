package io.anvilusher.logic.retry;

import java.util.Random;
import java.util.stream.IntStream;

import org.testng.annotations.Test;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class SharedRetryBudgetTests {

	private static final long WINDOW_MS = 10_000;

	private static final double RATIO = 0.2;

	/** Every request wants a retry, and traffic is very uneven across the gateways. */
	@Test
	public void sumOverGatewaysStaysWithinTheSharedRatioWhenEverythingFails() {
		Random random = new Random(3);
		SharedRetryBudget[] gateways = IntStream.range(0, 29)
			.mapToObj((index) -> new SharedRetryBudget(RATIO, WINDOW_MS))
			.toArray(SharedRetryBudget[]::new);
		int requests = 0;
		int retries = 0;
		for (long nowMs = 0; nowMs < WINDOW_MS; nowMs += 5) {
			SharedRetryBudget budget = gateways[(int) (gateways.length * Math.pow(random.nextDouble(), 3))];
			budget.onRequest(nowMs);
			requests++;
			retries += budget.tryRetry(nowMs) ? 1 : 0;
		}
		assertTrue(retries <= RATIO * requests + 54, retries + " retries for " + requests + " requests");
	}

	@Test
	public void ignoresRequestsOlderThanTheWindow() {
		SharedRetryBudget budget = new SharedRetryBudget(RATIO, WINDOW_MS);
		IntStream.range(0, 100).forEach((index) -> budget.onRequest(0));
		assertTrue(budget.tryRetry(WINDOW_MS + 1));
		assertFalse(budget.tryRetry(WINDOW_MS + 1));
	}

}
