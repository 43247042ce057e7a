package io.anvilusher.logic.usage;

import java.util.Map;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class UsageFoldTests {

	@Test
	public void recordAppendedTwiceIsCountedOnce() {
		UsageFold fold = new UsageFold(() -> 7);
		fold.onCounts("a", 7, Map.of("w", 3L));
		fold.onCounts("b", 7, Map.of("w", 2L, "v", 1L));
		fold.onCounts("a", 7, Map.of("w", 3L));
		assertEquals(fold.total(7), Map.of("w", 5L, "v", 1L));
	}

	@Test
	public void firstSealOfAWindowIsKept() {
		UsageFold fold = new UsageFold(() -> 7);
		assertTrue(fold.onSeal(7, Map.of("w", 5L)));
		assertFalse(fold.onSeal(7, Map.of("w", 6L)));
		assertEquals(fold.sealed(7).orElseThrow(), Map.of("w", 5L));
	}

	/** Guards against windows of a faulty writer that replace those to report. */
	@Test
	public void keepsTheWindowsNearestToThePresentOne() {
		UsageFold fold = new UsageFold(() -> 1_000);
		fold.onCounts("a", 999, Map.of("w", 3L));
		fold.onSeal(998, Map.of("w", 2L));
		for (long index = 0; index < 200; index++) {
			fold.onCounts("b", Long.MAX_VALUE - index, Map.of("w", 1L));
			fold.onSeal(Long.MIN_VALUE + index, Map.of("w", 1L));
			fold.onSeal(2_000 + index, Map.of("w", 1L));
		}
		assertEquals(fold.total(999), Map.of("w", 3L));
		assertEquals(fold.sealed(998).orElseThrow(), Map.of("w", 2L));
	}

	@Test
	public void keepsTheTimeDuringAJumpOfTheWallClock() {
		WallClockEstimator wallClock = new WallClockEstimator(1_000_000, 0);
		assertEquals(wallClock.estimateMs(1_001_000, 1_000), 1_001_000);
		assertEquals(wallClock.estimateMs(1_004_400, 2_000), 1_002_000);
		assertEquals(wallClock.estimateMs(1_010_400, 8_000), 1_008_000);
		assertEquals(wallClock.estimateMs(1_009_000, 9_000), 1_009_000);
	}

	@Test
	public void acceptsALastingDifference() {
		WallClockEstimator wallClock = new WallClockEstimator(1_000_000, 0);
		wallClock.estimateMs(1_006_000, 1_000);
		wallClock.estimateMs(1_018_500, 13_500);
		assertEquals(wallClock.estimateMs(1_019_000, 14_000), 1_019_000);
	}

	@Test
	public void windowIsCompleteWithTheCountsOfAllProcessesOfThePreviousWindow() {
		UsageFold fold = new UsageFold(() -> 7);
		fold.onCounts("a", 1, Map.of("w", 1L));
		fold.onCounts("b", 1, Map.of("w", 1L));
		fold.onCounts("a", 2, Map.of("w", 1L));
		assertFalse(fold.isComplete(2));
		fold.onCounts("b", 2, Map.of("w", 1L));
		fold.onCounts("c", 2, Map.of("w", 1L));
		assertTrue(fold.isComplete(2));
		assertFalse(fold.isComplete(3));
	}

	// Windows were reported without the counts of a gateway that was cut off in two of
	// them.
	@Test
	public void windowIsNotCompleteAfterOneThatMayLackTheCountsOfAProcess() {
		UsageFold fold = new UsageFold(() -> 3);
		fold.onCounts("a", 1, Map.of("w", 1L));
		fold.onCounts("stopped", 1, Map.of("w", 1L));
		fold.onCounts("a", 2, Map.of("w", 1L));
		fold.onCounts("a", 3, Map.of("w", 1L));
		assertFalse(fold.isComplete(3));
		fold.onSeal(2, Map.of("w", 1L));
		assertTrue(fold.isComplete(3));
	}

}
