package io.anvilusher.logic.placement.coordinated;

import java.util.List;

import org.testng.annotations.Test;

import io.anvilusher.model.request.PromptPart;
import io.anvilusher.model.request.PromptShape;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class CachedPartsTests {

	/** Guards against prefill that is expected again although the engine has the part. */
	@Test
	public void sharedPartsOfAnEarlierPromptAreCached() {
		CachedParts parts = new CachedParts(100_000);
		parts.onPrefill(prompt("system", "document", "own1"));
		assertEquals(parts.uncachedTokens(prompt("system", "document", "own2")), 1_000);
		assertEquals(parts.uncachedTokens(prompt("system", "other", "own3")), 2_000);
	}

	/** Guards against counting a part whose KV cache depends on other parts before it. */
	@Test
	public void partBehindAnUncachedOneDoesNotCount() {
		CachedParts parts = new CachedParts(100_000);
		parts.onPrefill(prompt("system", "document", "own1"));
		assertEquals(parts.uncachedTokens(prompt("other", "document", "own2")), 3_000);
	}

	/** Guards against a model that keeps parts which the engine has evicted. */
	@Test
	public void leastRecentlyUsedPartIsEvicted() {
		CachedParts parts = new CachedParts(5_000);
		parts.onPrefill(prompt("system", "document1", "own1"));
		parts.onPrefill(prompt("system", "document2", "own2"));
		parts.onPrefill(prompt("system", "document2", "own3"));
		assertTrue(parts.holds("system"));
		assertTrue(parts.holds("document2"));
		assertFalse(parts.holds("document1"));
	}

	/** Guards against memory that grows with prompts whose parts claim no tokens. */
	@Test
	public void numberOfPartsIsBoundedWithoutTokens() {
		CachedParts parts = new CachedParts(5_000);
		for (int index = 0; index <= CachedParts.MAX_PARTS; index++) {
			parts.onPrefill(new PromptShape(0, 1, List.of(new PromptPart("own" + index, 0))));
		}
		assertFalse(parts.holds("own0"));
		assertTrue(parts.holds("own" + CachedParts.MAX_PARTS));
	}

	/** Guards against negative work for a prompt whose parts claim more than it has. */
	@Test
	public void uncachedTokensArePositive() {
		CachedParts parts = new CachedParts(100_000);
		PromptShape prompt = new PromptShape(10, 1,
				List.of(new PromptPart("a", Integer.MAX_VALUE), new PromptPart("b", 0)));
		parts.onPrefill(prompt);
		assertTrue(parts.uncachedTokens(prompt) > 0);
	}

	private static PromptShape prompt(String first, String second, String own) {
		return new PromptShape(3_000, 2,
				List.of(new PromptPart(first, 1_000), new PromptPart(second, 1_000), new PromptPart(own, 1_000)));
	}

}
