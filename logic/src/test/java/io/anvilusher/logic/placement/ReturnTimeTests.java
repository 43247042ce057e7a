package io.anvilusher.logic.placement;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class ReturnTimeTests {

	@Test
	public void equalsTheTimeToCompletePendingWork() {
		RetryAfterEstimator estimator = new RetryAfterEstimator();
		for (long nowMs = 0; nowMs <= 2_000; nowMs += 10) {
			estimator.onDone(100, nowMs);
		}
		assertEquals(estimator.retryAfterMs(5_000, 0, 2_000), 500, 20);
	}

	@Test
	public void growsWithTheDurationOfAnOverload() {
		RetryAfterEstimator estimator = new RetryAfterEstimator();
		long first = estimator.retryAfterMs(0, 0, 0);
		long later = first;
		for (long nowMs = 100; nowMs <= 1_500; nowMs += 100) {
			later = estimator.retryAfterMs(0, 0, nowMs);
		}
		assertEquals(first, (long) RetryAfterEstimator.MIN_RETRY_AFTER_MS);
		assertEquals(later, 1_500);
	}

	@Test
	public void restartsAfterAPeriodWithoutRejections() {
		RetryAfterEstimator estimator = new RetryAfterEstimator();
		estimator.retryAfterMs(0, 0, 0);
		estimator.retryAfterMs(0, 0, 300);
		assertEquals(estimator.retryAfterMs(0, 0, 301 + RetryAfterEstimator.OVERLOAD_END_MS),
				(long) RetryAfterEstimator.MIN_RETRY_AFTER_MS);
	}

	@Test
	public void spreadsCallers() {
		RetryAfterEstimator estimator = new RetryAfterEstimator();
		assertTrue(estimator.retryAfterMs(0, 1, 0) > estimator.retryAfterMs(0, 0, 0));
	}

}
