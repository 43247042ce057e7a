package io.anvilusher.logic.placement;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class ReturnTimeTests {

	@Test
	public void equalsTheTimeToCompletePendingWork() {
		RetryAfterEstimator time = new RetryAfterEstimator();
		for (long nowMs = 0; nowMs <= 2_000; nowMs += 10) {
			time.onDone(100, nowMs);
		}
		assertEquals(time.retryAfterMs(5_000, 0, 2_000), 500, 20);
	}

	@Test
	public void growsWithTheDurationOfAnOverload() {
		RetryAfterEstimator time = new RetryAfterEstimator();
		long first = time.retryAfterMs(0, 0, 0);
		long later = first;
		for (long nowMs = 100; nowMs <= 1_500; nowMs += 100) {
			later = time.retryAfterMs(0, 0, nowMs);
		}
		assertEquals(first, (long) RetryAfterEstimator.MIN_RETRY_AFTER_MS);
		assertEquals(later, 1_500);
	}

	@Test
	public void restartsAfterAPeriodWithoutRejections() {
		RetryAfterEstimator time = new RetryAfterEstimator();
		time.retryAfterMs(0, 0, 0);
		time.retryAfterMs(0, 0, 300);
		assertEquals(time.retryAfterMs(0, 0, 301 + RetryAfterEstimator.OVERLOAD_END_MS),
				(long) RetryAfterEstimator.MIN_RETRY_AFTER_MS);
	}

	@Test
	public void spreadsCallers() {
		RetryAfterEstimator time = new RetryAfterEstimator();
		assertTrue(time.retryAfterMs(0, 1, 0) > time.retryAfterMs(0, 0, 0));
	}

}
