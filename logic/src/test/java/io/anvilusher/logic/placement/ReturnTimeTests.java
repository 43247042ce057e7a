package io.anvilusher.logic.placement;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class ReturnTimeTests {

	@Test
	public void equalsTheTimeToCompletePendingWork() {
		ReturnTime time = new ReturnTime();
		for (long nowMs = 0; nowMs <= 2_000; nowMs += 10) {
			time.onDone(100, nowMs);
		}
		assertEquals(time.afterMs(5_000, 0, 2_000), 500, 20);
	}

	@Test
	public void growsWithTheDurationOfAnOverload() {
		ReturnTime time = new ReturnTime();
		long first = time.afterMs(0, 0, 0);
		long later = first;
		for (long nowMs = 100; nowMs <= 1_500; nowMs += 100) {
			later = time.afterMs(0, 0, nowMs);
		}
		assertEquals(first, (long) ReturnTime.MIN_RETRY_AFTER_MS);
		assertEquals(later, 1_500);
	}

	@Test
	public void restartsAfterAPeriodWithoutRejections() {
		ReturnTime time = new ReturnTime();
		time.afterMs(0, 0, 0);
		time.afterMs(0, 0, 300);
		assertEquals(time.afterMs(0, 0, 301 + ReturnTime.OVERLOAD_END_MS), (long) ReturnTime.MIN_RETRY_AFTER_MS);
	}

	@Test
	public void spreadsCallers() {
		ReturnTime time = new ReturnTime();
		assertTrue(time.afterMs(0, 1, 0) > time.afterMs(0, 0, 0));
	}

}
