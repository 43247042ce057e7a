package io.anvilusher.logic.admission;

import org.testng.annotations.Test;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class LagAdmissionTests {

	/** Guards against streams that are lost because all gateways restarted at once. */
	@Test
	public void streamsThatAreTakenUpAreAcceptedLongerThanNewRequests() {
		assertTrue(LagAdmission.accepts(99, false));
		assertFalse(LagAdmission.accepts(100, false));
		assertTrue(LagAdmission.accepts(999, true));
		assertFalse(LagAdmission.accepts(1_000, true));
	}

}
