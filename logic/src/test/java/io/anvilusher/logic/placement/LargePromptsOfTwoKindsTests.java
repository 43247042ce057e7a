package io.anvilusher.logic.placement;

import java.util.Comparator;
import java.util.List;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import io.anvilusher.logic.placement.SizeReplay.Outcome;

import static org.testng.Assert.assertTrue;

/**
 * Guards against large prompts of one kind of request that are served less than half as
 * often as the whole kind, while another kind of very different size uses the service.
 */
public class LargePromptsOfTwoKindsTests {

	private static final double LENGTH_MS = 20_000;

	/** Above capacity for the larger kind only. */
	private static final double PER_MS = 1.6;

	private static final double FAR_ABOVE_CAPACITY_PER_MS = 4;

	@DataProvider
	public Object[][] seeds() {
		return new Object[][] { { 1L }, { 2L }, { 3L } };
	}

	@Test(dataProvider = "seeds")
	public void largestOfTheLargerKindAreServedHalfAsOftenAsTheKind(long seed) {
		assertNoSizeIsLeftOut(new TwoKindsReplay(seed, 4).simulate(LENGTH_MS, PER_MS)
			.stream()
			.filter((outcome) -> outcome.promptTokens() > TwoKindsReplay.MAX_SHORT_TOKENS)
			.toList());
	}

	@Test(dataProvider = "seeds")
	public void largestOfTheSmallerKindAreServedHalfAsOftenAsTheKind(long seed) {
		assertNoSizeIsLeftOut(new TwoKindsReplay(seed, 4).simulate(LENGTH_MS, FAR_ABOVE_CAPACITY_PER_MS)
			.stream()
			.filter((outcome) -> outcome.promptTokens() <= TwoKindsReplay.MAX_SHORT_TOKENS)
			.toList());
	}

	private static void assertNoSizeIsLeftOut(List<Outcome> outcomes) {
		List<Outcome> bySize = outcomes.stream().sorted(Comparator.comparingInt(Outcome::promptTokens)).toList();
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
