package io.anvilusher.logic.allowance;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class SlidingUsageTests {

	private static final long WINDOW_MS = 8_000;

	/** Guards against use that leaves the sum before it leaves the window. */
	@Test
	public void sumIsNeverBelowTheExactOneAndHardlyAbove() {
		Random random = new Random(1);
		SlidingUsage usage = new SlidingUsage(WINDOW_MS);
		Deque<long[]> exact = new ArrayDeque<>();
		for (long nowMs = 5; nowMs < 100_000; nowMs += 1 + random.nextInt((nowMs % 7 == 0) ? 3_000 : 20)) {
			long amount = random.nextInt(100);
			usage.add(amount, nowMs);
			exact.addLast(new long[] { nowMs, amount });
			long now = nowMs;
			long inWindow = sumSince(exact, now - WINDOW_MS);
			long inLargerWindow = sumSince(exact, now - WINDOW_MS - 100);
			assertTrue(usage.total(now) >= inWindow, "at " + now);
			assertTrue(usage.total(now) <= inLargerWindow, "at " + now);
		}
	}

	private static long sumSince(Deque<long[]> exact, long afterMs) {
		return exact.stream().filter((entry) -> entry[0] > afterMs).mapToLong((entry) -> entry[1]).sum();
	}

	@Test
	public void removedAmountCountsNoMore() {
		SlidingUsage usage = new SlidingUsage(WINDOW_MS);
		usage.add(10, 1_000);
		usage.add(5, 2_000);
		usage.remove(10, 1_000, 3_000);
		assertEquals(usage.total(3_000), 5);
		usage.remove(5, 2_000, 20_000);
		assertEquals(usage.total(20_000), 0);
	}

	@Test
	public void tellsWhenAnAmountLeavesTheWindow() {
		SlidingUsage usage = new SlidingUsage(WINDOW_MS);
		usage.add(10, 1_000);
		usage.add(5, 2_000);
		long waitMs = usage.timeToFreeMs(12, 3_000);
		assertTrue(waitMs >= 7_000 && waitMs <= 7_200, "waits " + waitMs);
		assertEquals(usage.total(3_000 + waitMs), 0);
	}

}
