package io.anvilusher.logic.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.LongPredicate;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Replays a gateway that gets more than twice the requests it has processor time for: one
 * thread that handles all pending requests in each pass.
 */
public class LagAdmissionReplayTests {

	private static final double OFFERED_PER_MS = 0.8;

	private static final double SERVE_COST_MS = 2.6;

	private static final double REFUSE_COST_MS = 0.7;

	private static final long TICK_MS = 50;

	private static final long DURATION_MS = 10_000;

	private static final long IN_TIME_MS = 400;

	private static int servedInTime(LongPredicate accepts) {
		Deque<Double> arrivals = new ArrayDeque<>();
		double nowMs = 0;
		double nextArrivalMs = 0;
		double dueAtMs = 0;
		int inTime = 0;
		while (nowMs < DURATION_MS) {
			for (; nextArrivalMs <= nowMs; nextArrivalMs += 1 / OFFERED_PER_MS) {
				arrivals.addLast(nextArrivalMs);
			}
			if (arrivals.isEmpty()) {
				nowMs = nextArrivalMs;
			}
			dueAtMs = (nowMs >= dueAtMs) ? nowMs + TICK_MS : dueAtMs;
			for (int pending = arrivals.size(); pending > 0; pending--) {
				double arrivedAtMs = arrivals.removeFirst();
				boolean accepted = accepts.test((long) Math.max(0, nowMs - dueAtMs));
				nowMs += accepted ? SERVE_COST_MS : REFUSE_COST_MS;
				inTime += (accepted && nowMs - arrivedAtMs <= IN_TIME_MS) ? 1 : 0;
			}
		}
		return inTime;
	}

	/** Guards against an overloaded gateway that serves everything too late. */
	@Test
	public void overloadedThreadServesWhatItCanInTime() {
		int served = servedInTime((lagMs) -> LagAdmission.accepts(lagMs, false));
		double capacity = DURATION_MS * (1 - OFFERED_PER_MS * REFUSE_COST_MS) / (SERVE_COST_MS - REFUSE_COST_MS);
		assertTrue(served > 0.8 * capacity, served + " of " + (int) capacity + " possible");
		assertTrue(servedInTime((lagMs) -> true) < 0.2 * capacity);
	}

	@Test
	public void retryAfterGrowsWithTheLagUpToABound() {
		assertTrue(LagAdmission.retryAfterMs(100, 0) < LagAdmission.retryAfterMs(300, 0));
		assertEquals(LagAdmission.retryAfterMs(60_000, 1), LagAdmission.MAX_RETRY_AFTER_MS);
	}

}
