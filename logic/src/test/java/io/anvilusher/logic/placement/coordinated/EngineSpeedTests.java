package io.anvilusher.logic.placement.coordinated;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class EngineSpeedTests {

	/** Guards against a slowed machine that gets as much work as the others. */
	@Test
	public void reportedRelativeTimeTakesEffectAtOnce() {
		EngineSpeed speed = new EngineSpeed(false, 1);
		double usualMs = speed.msPerToken();
		speed.onReport(250);
		assertEquals(speed.msPerToken(), 2.5 * usualMs, 1e-9);
	}

	/** Guards against a fast engine that loses its rank while its machine is slowed. */
	@Test
	public void usualRelativeTimeIsTheLowestReported() {
		EngineSpeed speed = new EngineSpeed(false, 1);
		assertEquals(speed.usualRelativeTime(), 1.0);
		speed.onReport(55);
		speed.onReport(137);
		assertEquals(speed.usualRelativeTime(), 0.55);
	}

	/** Guards against estimates that stay wrong on engines of another speed. */
	@Test
	public void completedPromptsCorrectTheEstimate() {
		EngineSpeed speed = new EngineSpeed(false, 1);
		double actualMsPerToken = 2 * speed.msPerToken();
		for (int prompt = 0; prompt < 200; prompt++) {
			speed.onPrefilled(5_000 * speed.msPerToken(), 5_000 * actualMsPerToken);
		}
		assertEquals(speed.msPerToken(), actualMsPerToken, 0.05 * actualMsPerToken);
	}

	/** Guards against a lost or delayed message that makes an engine seem unusable. */
	@Test
	public void oneOutlierHasASmallEffect() {
		EngineSpeed speed = new EngineSpeed(false, 1);
		double usualMs = speed.msPerToken();
		speed.onPrefilled(100, 1e9);
		assertTrue(speed.msPerToken() < 1.5 * usualMs);
	}

	/** Guards against estimates of zero or infinity, which no observation corrects. */
	@Test
	public void estimateStaysFiniteAndPositive() {
		EngineSpeed speed = new EngineSpeed(false, 1);
		speed.onReport(0);
		for (int prompt = 0; prompt < 1_000; prompt++) {
			speed.onPrefilled(100, 0);
		}
		assertTrue(speed.msPerToken() > 0);
		for (int prompt = 0; prompt < 2_000; prompt++) {
			speed.onPrefilled(100, 1e12);
		}
		assertTrue(Double.isFinite(speed.msPerToken()));
	}

}
