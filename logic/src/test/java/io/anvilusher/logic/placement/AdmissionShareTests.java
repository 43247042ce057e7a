package io.anvilusher.logic.placement;

import java.util.stream.IntStream;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class AdmissionShareTests {

	private static final long TARGET_MS = 100;

	private static final int PROMPTS = 10_000;

	private final AdmissionShare share = new AdmissionShare();

	private static double admitted(AdmissionShare share) {
		return (double) IntStream.range(0, PROMPTS).filter((index) -> share.admits("p" + index, "prefill")).count()
				/ PROMPTS;
	}

	@Test
	public void admitsAllPromptsUntilOneIsLate() {
		assertEquals(admitted(new AdmissionShare()), 1.0);
	}

	@Test
	public void latePromptsOfTheSameQueueShrinkTheShareOnce() {
		AdmissionShare late = new AdmissionShare();
		IntStream.range(0, 20).forEach((index) -> late.onResult(300, TARGET_MS, 1_000 + index));
		assertEquals(admitted(late), AdmissionShare.SHRINK_FACTOR, 0.02);
	}

	@Test
	public void lastingOverloadLeavesEnoughToNoticeItsEnd() {
		AdmissionShare overloaded = new AdmissionShare();
		IntStream.range(0, 50).forEach((index) -> overloaded.onResult(300, TARGET_MS, index * TARGET_MS));
		assertEquals(admitted(overloaded), AdmissionShare.MIN_SHARE, 0.02);
		IntStream.range(0, 10).forEach((index) -> overloaded.onResult(20, TARGET_MS, 10_000));
		assertEquals(admitted(overloaded), 1.0);
	}

	@Test
	public void promptThatIsAdmittedStaysAdmittedWhileTheShareGrows() {
		this.share.onResult(300, TARGET_MS, 0);
		int[] before = IntStream.range(0, PROMPTS)
			.filter((index) -> this.share.admits("p" + index, "decode"))
			.toArray();
		this.share.onResult(20, TARGET_MS, 10);
		assertTrue(IntStream.of(before).allMatch((index) -> this.share.admits("p" + index, "decode")));
	}

}
