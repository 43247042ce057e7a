package io.anvilusher.logic.placement.coordinated;

import java.util.Comparator;
import java.util.List;
import java.util.function.DoubleUnaryOperator;
import java.util.function.Predicate;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import io.anvilusher.logic.placement.coordinated.CoordinatedReplay.Outcome;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class CoordinatedReplayTests {

	private static final double WARM_UP_MS = 2_000;

	private static final double PEAK_END_MS = 5_000;

	/** A quarter of the longest gap between events that is on time. */
	private static final double MAX_PREFILL_BESIDE_STREAMS_MS = 37;

	private static final double LENGTH_MS = 7_000;

	/** A peak of 3 s with four times the usual load. */
	private static final DoubleUnaryOperator PEAK = (atMs) -> (atMs > WARM_UP_MS && atMs < PEAK_END_MS) ? 0.8 : 0.2;

	/** More than the engines can prefill. */
	private static final DoubleUnaryOperator OVERLOAD = (atMs) -> 1.5;

	private static final double OVERLOAD_MS = 4_000;

	/** Served share of a kind of request in each window that counts as not starved. */
	private static final double MIN_SERVED_SHARE = 0.05;

	private static final double WINDOW_MS = 1_000;

	@DataProvider
	public Object[][] seeds() {
		return new Object[][] { { 1L }, { 2L }, { 3L } };
	}

	/**
	 * Guards against placement that does not know the load of the engines: each gateway
	 * alone sees about one response per second from each engine.
	 */
	@Test(dataProvider = "seeds")
	public void peakHasClearlyMorePromptsOnTimeThanUncoordinatedGateways(long seed) {
		List<Outcome> coordinated = new CoordinatedReplay(seed, true).simulate(LENGTH_MS, PEAK).outcomes();
		List<Outcome> alone = new CoordinatedReplay(seed, false).simulate(LENGTH_MS, PEAK).outcomes();
		long onTime = coordinated.stream().filter(Outcome::isOnTime).count();
		long onTimeAlone = alone.stream().filter(Outcome::isOnTime).count();
		assertTrue(onTime > 1.4 * onTimeAlone, onTime + " against " + onTimeAlone + " of " + coordinated.size());
	}

	/**
	 * Guards against streams on slow engines, and against long prompts that lengthen the
	 * gaps between the events of streams: beside streams, only short prefills are
	 * allowed.
	 */
	@Test(dataProvider = "seeds")
	public void streamsRunOnFastEnginesAndLongPrefillsKeepOffThem(long seed) {
		List<Outcome> served = new CoordinatedReplay(seed, true).simulate(LENGTH_MS, PEAK)
			.outcomes()
			.stream()
			.filter((outcome) -> outcome.request().atMs() > WARM_UP_MS && !outcome.engineId().isEmpty())
			.toList();
		double fastStreams = share(served.stream().filter((outcome) -> outcome.request().isStream()).toList(),
				(outcome) -> CoordinatedReplay.isFast(outcome.engineId()));
		List<Outcome> prompts = served.stream().filter((outcome) -> !outcome.request().isStream()).toList();
		double longBesideStreams = share(prompts,
				(outcome) -> outcome.streamsBeside() > 0 && outcome.prefillMs() > MAX_PREFILL_BESIDE_STREAMS_MS);
		double calmBesideStreams = share(
				prompts.stream().filter((outcome) -> outcome.request().atMs() > PEAK_END_MS + 500).toList(),
				(outcome) -> outcome.streamsBeside() > 0);
		assertTrue(fastStreams > 0.9, "share of streams on fast engines " + fastStreams);
		assertTrue(longBesideStreams < 0.05, "share of long prefills beside streams " + longBesideStreams);
		assertTrue(calmBesideStreams < 0.1, "share beside streams after the peak " + calmBesideStreams);
	}

	/**
	 * Guards against starvation: in each second of a lasting overload, prompts of each
	 * priority class and the largest ones are served, and against an order by which
	 * requests that are late anyway delay those that are not.
	 */
	@Test(dataProvider = "seeds")
	public void lastingOverloadStarvesNoPriorityAndNoSizeAndServesMostOnTime(long seed) {
		List<Outcome> prompts = new CoordinatedReplay(seed, true).simulate(OVERLOAD_MS, OVERLOAD)
			.outcomes()
			.stream()
			.filter((outcome) -> !outcome.request().isStream())
			.toList();
		for (double fromMs = 0; fromMs + WINDOW_MS <= OVERLOAD_MS; fromMs += WINDOW_MS) {
			double startMs = fromMs;
			List<Outcome> window = prompts.stream()
				.filter((outcome) -> outcome.request().atMs() >= startMs
						&& outcome.request().atMs() < startMs + WINDOW_MS)
				.toList();
			for (int priority = 0; priority < CoordinatedReplay.PRIORITIES; priority++) {
				int current = priority;
				assertServed(window, (outcome) -> outcome.request().priority() == current,
						"priority " + current + " from " + startMs);
			}
			assertServed(window, (outcome) -> outcome.request().isLarge(), "largest prompts from " + startMs);
		}
		double onTime = share(prompts.stream().filter(Outcome::isServed).toList(), Outcome::isOnTime);
		assertTrue(onTime > 0.75, "share of served prompts on time " + onTime);
	}

	/** Guards against a coordinator that leaves out what takes long to prefill. */
	@Test(dataProvider = "seeds")
	public void lastingOverloadServesTheLargestPromptsHalfAsOftenAsAll(long seed) {
		List<Outcome> bySize = new CoordinatedReplay(seed, true).simulate(OVERLOAD_MS, OVERLOAD)
			.outcomes()
			.stream()
			.filter((outcome) -> !outcome.request().isStream())
			.sorted(Comparator.comparingInt((outcome) -> outcome.request().prompt().promptTokens()))
			.toList();
		int count = bySize.size();
		double all = share(bySize, Outcome::isServed);
		double largestTenth = share(bySize.subList(count * 9 / 10, count), Outcome::isServed);
		double fifthBelow = share(bySize.subList(count * 7 / 10, count * 9 / 10), Outcome::isServed);
		String shares = "served of the largest tenth %.2f, of the fifth below it %.2f, of all %.2f"
			.formatted(largestTenth, fifthBelow, all);
		assertTrue(largestTenth >= all / 2, shares);
		assertTrue(fifthBelow >= all / 2, shares);
	}

	private static void assertServed(List<Outcome> window, Predicate<Outcome> kind, String name) {
		double served = share(window.stream().filter(kind).toList(), Outcome::isServed);
		assertTrue(served > MIN_SERVED_SHARE, "served share " + served + " of " + name);
	}

	/**
	 * Guards against requests that stay in the coordinator's records: they would use up
	 * engines' slots and the number of requests that it can remember.
	 */
	@Test
	public void refusedAndEndedRequestsLeaveNothingBehind() {
		PlacementCoordinator coordinator = new CoordinatedReplay(1, true).simulate(OVERLOAD_MS, OVERLOAD).coordinator();
		assertEquals(coordinator.rememberedRequests(), 0);
		assertEquals(coordinator.occupiedSlots(), 0);
	}

	private static double share(List<Outcome> outcomes, Predicate<Outcome> predicate) {
		return (double) outcomes.stream().filter(predicate).count() / Math.max(1, outcomes.size());
	}

}
