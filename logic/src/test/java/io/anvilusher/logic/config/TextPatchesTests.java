package io.anvilusher.logic.config;

import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

public class TextPatchesTests {

	@Test
	public void patchTurnsOneTextIntoTheOther() {
		SplittableRandom random = new SplittableRandom(7);
		for (int i = 0; i < 2000; i++) {
			String before = text(random);
			String after = text(random);
			assertEquals(TextPatches.apply(before, TextPatches.between(before, after)).orElseThrow(), after);
		}
	}

	private static String text(SplittableRandom random) {
		return IntStream.range(0, random.nextInt(6))
			.mapToObj((line) -> String.valueOf((char) ('a' + random.nextInt(3))))
			.collect(Collectors.joining("\n", "", random.nextBoolean() ? "\n" : ""));
	}

	@Test
	public void patchOfOneChangedLineHoldsOneLine() {
		assertEquals(TextPatches.between("a\nb\nc", "a\nx\nc").insertedLines().size(), 1);
	}

	@Test
	public void patchPastTheEndIsRefused() {
		assertFalse(TextPatches.apply("a", TextPatches.between("a\nb\nc", "a\nb\nd")).isPresent());
	}

}
