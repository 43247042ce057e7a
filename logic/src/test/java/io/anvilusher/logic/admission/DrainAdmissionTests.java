package io.anvilusher.logic.admission;

import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class DrainAdmissionTests {

	private static final long ACCEPT_ALL_MS = 3_000;

	private static final long DURATION_MS = 7_340;

	private static final DrainAdmission ADMISSION = new DrainAdmission(ACCEPT_ALL_MS, DURATION_MS);

	@Test
	public void acceptsEverythingAtFirst() {
		assertTrue(ADMISSION.accepts(ACCEPT_ALL_MS - 1, 20_000, false));
	}

	@Test
	public void acceptsOnlyRequestsThatEndInTimeWhileItWaits() {
		assertTrue(ADMISSION.accepts(4_000, 6_000, true));
		assertFalse(ADMISSION.accepts(4_000, 15_000, true));
		assertFalse(ADMISSION.accepts(6_000, DURATION_MS, true));
	}

	@Test
	public void acceptsNothingMoreOnceItCouldEnd() {
		assertFalse(ADMISSION.accepts(4_000, 4_500, false));
	}

	@Test
	public void endsWhenIdleOrAtTheEndOfItsTime() {
		assertFalse(ADMISSION.mayEnd(ACCEPT_ALL_MS - 1, 0));
		assertTrue(ADMISSION.mayEnd(ACCEPT_ALL_MS, 0));
		assertFalse(ADMISSION.mayEnd(DURATION_MS - 1, 1));
		assertTrue(ADMISSION.mayEnd(DURATION_MS, 1));
	}

	/** Guards against restarts in turn in which all gateways refuse at the same time. */
	@Test
	public void restartsInTurnLeaveNoMomentInWhichEveryGatewayRefuses() {
		long gapMs = 2_000;
		long startMs = 2_000;
		long requestMs = 1_000;
		List<DrainAdmission> gateways = IntStream.range(0, 4)
			.mapToObj((index) -> new DrainAdmission(index * gapMs + ACCEPT_ALL_MS, index * gapMs + DURATION_MS))
			.toList();
		long[] refusedAtMs = LongStream.iterate(0, (nowMs) -> nowMs <= 16_000, (nowMs) -> nowMs + 50)
			.filter((nowMs) -> gateways.stream()
				.noneMatch((gateway) -> nowMs >= gateway.endsAtMs() + startMs
						|| gateway.accepts(nowMs, nowMs + requestMs, true)))
			.toArray();
		assertEquals(refusedAtMs.length, 0, "refused at " + Arrays.toString(refusedAtMs) + " ms");
	}

}
