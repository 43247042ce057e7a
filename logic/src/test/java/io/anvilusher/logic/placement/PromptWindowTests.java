package io.anvilusher.logic.placement;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests that prompts of all sizes are sent while an engine is busy with small ones.
 */
public class PromptWindowTests {

	private static final long TARGET_MS = 800;

	private static final int SMALL_TOKENS = 3_000;

	private static final int LARGE_TOKENS = 40_000;

	/**
	 * Guards against the starvation of prompts larger than the limit: each small prompt
	 * that was sent postponed them again.
	 */
	@Test
	public void smallPromptsDoNotStarveALargeOne() {
		PromptWindow window = new PromptWindow();
		int large = 0;
		int small = 0;
		for (long nowMs = 0; nowMs < 20_000; nowMs += 5) {
			if (nowMs % 100 == 50 && small > 0) {
				window.onSettled(SMALL_TOKENS, nowMs);
			}
			if (window.fits(LARGE_TOKENS, TARGET_MS, nowMs)) {
				window.onSent(LARGE_TOKENS, nowMs);
				window.onSettled(LARGE_TOKENS, nowMs);
				large++;
			}
			if (nowMs % 100 == 0) {
				window.onSent(SMALL_TOKENS, nowMs);
				small++;
			}
		}
		assertEquals(small, 200);
		assertTrue(large >= 5, "large prompts sent: " + large);
	}

	/**
	 * Guards against a large prompt that waits until nothing else is pending while small
	 * ones that fit keep coming, each sent before the one before it is prefilled.
	 */
	@Test
	public void overlappingSmallPromptsDoNotStarveALargeOne() {
		PromptWindow window = new PromptWindow();
		int large = 0;
		for (long nowMs = 0; nowMs < 20_000; nowMs += 5) {
			if (nowMs % 100 == 0) {
				window.onSent(SMALL_TOKENS, nowMs);
			}
			if (nowMs % 100 == 50 && nowMs > 100) {
				window.onSettled(SMALL_TOKENS, nowMs);
			}
			if (window.fits(LARGE_TOKENS, TARGET_MS, nowMs)) {
				window.onSent(LARGE_TOKENS, nowMs);
				window.onSettled(LARGE_TOKENS, nowMs);
				large++;
			}
		}
		assertTrue(large >= 2, "large prompts sent: " + large);
	}

	@Test
	public void largePromptsAreSentOnlyAsOftenAsTheLimitAllows() {
		PromptWindow window = new PromptWindow();
		int large = 0;
		for (long nowMs = 0; nowMs < 20_000; nowMs += 5) {
			if (window.fits(LARGE_TOKENS, TARGET_MS, nowMs)) {
				window.onSent(LARGE_TOKENS, nowMs);
				window.onSettled(LARGE_TOKENS, nowMs);
				large++;
			}
		}
		double tokensPerTarget = large * (double) LARGE_TOKENS * TARGET_MS / 20_000;
		assertTrue(tokensPerTarget <= 1.2 * window.limitTokens(), "tokens per target: " + tokensPerTarget);
	}

}
