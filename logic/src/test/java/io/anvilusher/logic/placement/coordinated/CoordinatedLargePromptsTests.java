package io.anvilusher.logic.placement.coordinated;

import java.util.Comparator;
import java.util.List;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import io.anvilusher.logic.placement.coordinated.CoordinatedReplay.Outcome;

import static org.testng.Assert.assertTrue;

/**
 * Guards against limits of a coordinator that large prompts meet and small ones pass:
 * above capacity, the largest were served less than half as often as all.
 */
public class CoordinatedLargePromptsTests {

	private static final double LENGTH_MS = 20_000;

	private static final double PER_MS = 1.5;

	private static final double FAR_ABOVE_CAPACITY_PER_MS = 2.5;

	@DataProvider
	public Object[][] seeds() {
		return new Object[][] { { 1L }, { 2L }, { 3L } };
	}

	@Test(dataProvider = "seeds")
	public void largePromptsAreServedHalfAsOftenAsAllAboveCapacity(long seed) {
		assertNoSizeIsLeftOut(new CoordinatedReplay(seed, true).simulate(LENGTH_MS, (atMs) -> PER_MS));
	}

	@Test(dataProvider = "seeds")
	public void largePromptsAreServedHalfAsOftenAsAllFarAboveCapacity(long seed) {
		assertNoSizeIsLeftOut(
				new CoordinatedReplay(seed, true).simulate(LENGTH_MS, (atMs) -> FAR_ABOVE_CAPACITY_PER_MS));
	}

	private static void assertNoSizeIsLeftOut(CoordinatedReplay replay) {
		List<Outcome> bySize = replay.outcomes()
			.stream()
			.filter((outcome) -> !outcome.request().isStream())
			.sorted(Comparator.comparingInt((Outcome outcome) -> outcome.request().prompt().promptTokens()))
			.toList();
		int count = bySize.size();
		double all = servedShare(bySize);
		double largestTenth = servedShare(bySize.subList(count * 9 / 10, count));
		double fifthBelow = servedShare(bySize.subList(count * 7 / 10, count * 9 / 10));
		String shares = "served of the largest tenth %.2f, of the fifth below it %.2f, of all %.2f"
			.formatted(largestTenth, fifthBelow, all);
		assertTrue(largestTenth >= all / 2, shares);
		assertTrue(fifthBelow >= all / 2, shares);
	}

	private static double servedShare(List<Outcome> outcomes) {
		return (double) outcomes.stream().filter(Outcome::isServed).count() / outcomes.size();
	}

}
