package io.anvilusher.proofs;

import java.util.List;

import org.testng.annotations.Test;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class ProofPageTests {

	@Test
	public void cellWithoutTestIsShownAsNotYet() {
		assertTrue(new ProofPage(List.of()).render().contains("not yet"));
	}

	@Test
	public void oneFailingTestFailsTheCell() {
		ProofResult passed = new ProofResult(Promise.AT_MOST_ONCE, Fault.KILL, Step.ATTEMPT_STARTED, "A#a", true);
		ProofResult failed = new ProofResult(Promise.AT_MOST_ONCE, Fault.KILL, Step.ATTEMPT_STARTED, "A#b", false);
		String page = new ProofPage(List.of(passed, failed)).render();
		assertTrue(page.contains("FAILED"));
		assertFalse(new ProofPage(List.of(passed)).render().contains("| FAILED"));
	}

}
