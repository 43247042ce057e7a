package io.anvilusher.logic.limit;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class KnownLimitsTests {

	private static final OptionalDouble ENDED = OptionalDouble.empty();

	private static OptionalDouble limit(double perS) {
		return OptionalDouble.of(perS);
	}

	@Test
	public void namedLimitIsInForceAndToldOnce() {
		KnownLimits limits = new KnownLimits();
		assertEquals(limits.onResponse("s", limit(8.7), 90, 100), Optional.of(new LimitNews("s", limit(8.7), 100)));
		assertEquals(limits.limitPerS("s"), limit(8.7));
		assertEquals(limits.onResponse("s", limit(8.7), 190, 200), Optional.empty());
		assertTrue(limits.onResponse("s", limit(8.7), 1_090, 1_100).isPresent());
	}

	@Test
	public void limitThatWasHeardLatelyIsNotTold() {
		KnownLimits limits = new KnownLimits();
		assertTrue(limits.onNews("s", limit(8.7), 0, 100));
		assertEquals(limits.onResponse("s", limit(8.7), 90, 1_099), Optional.empty());
		assertTrue(limits.onResponse("s", limit(5), 90, 1_099).isPresent());
	}

	@Test
	public void onlyResponseToLaterRequestEndsTheLimit() {
		KnownLimits limits = new KnownLimits();
		limits.onResponse("s", limit(8.7), 90, 100);
		assertEquals(limits.onResponse("s", ENDED, 100, 120), Optional.empty());
		assertEquals(limits.limitPerS("s"), limit(8.7));
		assertEquals(limits.onResponse("s", ENDED, 101, 130), Optional.of(new LimitNews("s", ENDED, 130)));
		assertEquals(limits.limitPerS("s"), ENDED);
	}

	@Test
	public void newestNewsCounts() {
		KnownLimits limits = new KnownLimits();
		limits.onNews("s", limit(5), 100, 1_000);
		assertFalse(limits.onNews("s", limit(9), 200, 1_050));
		assertTrue(limits.onNews("s", ENDED, 50, 1_050));
		assertFalse(limits.onNews("s", limit(5), 500, 1_060));
	}

	@Test
	public void absurdValuesAreIgnored() {
		KnownLimits limits = new KnownLimits();
		limits.onResponse("s", limit(5), 90, 100);
		for (double absurd : new double[] { -1, Double.NaN, Double.POSITIVE_INFINITY }) {
			assertEquals(limits.onResponse("s", limit(absurd), 190, 200), Optional.empty());
			assertFalse(limits.onNews("s", limit(absurd), 0, 200));
			assertEquals(limits.limitPerS("s"), limit(5));
		}
		assertEquals(limits.onResponse("s", limit(-1), 1_190, 1_200), Optional.of(new LimitNews("s", limit(5), 100)));
	}

	@Test
	public void smallLimitsAreRaisedAndLargeOnesNotInForce() {
		KnownLimits limits = new KnownLimits();
		limits.onResponse("s", limit(0), 90, 100);
		assertEquals(limits.limitPerS("s"), limit(0.25));
		limits.onResponse("s", limit(100_000), 190, 200);
		assertEquals(limits.limitPerS("s"), limit(100_000));
		limits.onResponse("s", limit(100_001), 290, 300);
		assertEquals(limits.limitPerS("s"), ENDED);
	}

	@Test
	public void newsIsOlderWhenItIsPassedOn() {
		KnownLimits limits = new KnownLimits();
		limits.onNews("s", limit(5), 100, 1_000);
		assertEquals(limits.newest("s"), Optional.of(new LimitNews("s", limit(5), 900 - KnownLimits.RELAY_MS)));
		limits.onResponse("s", limit(5), 1_090, 1_100);
		assertEquals(limits.newest("s"), Optional.of(new LimitNews("s", limit(5), 1_100)));
	}

	@Test
	public void olderNewsIsCorrected() {
		KnownLimits limits = new KnownLimits();
		limits.onResponse("s", limit(5), 990, 1_000);
		assertEquals(limits.correction("s", limit(9), 300, 1_200), Optional.of(new LimitNews("s", limit(5), 1_000)));
		assertEquals(limits.correction("s", limit(9), 100, 1_200), Optional.empty());
		assertEquals(limits.correction("s", limit(5), 300, 1_200), Optional.empty());
		assertEquals(limits.correction("t", limit(9), 300, 1_200), Optional.empty());
	}

	@Test
	public void serversThatAreGoneAreForgotten() {
		KnownLimits limits = new KnownLimits();
		limits.onResponse("s", limit(5), 90, 100);
		limits.onResponse("t", limit(6), 90, 100);
		limits.retain(Set.of("t"));
		assertEquals(limits.limitPerS("s"), ENDED);
		assertEquals(limits.limitPerS("t"), limit(6));
	}

}
