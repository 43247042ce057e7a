package io.anvilusher.logic.admission;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

/**
 * Tests how the descriptors of a process are divided.
 */
public class DescriptorSharesTests {

	@DataProvider
	public Object[][] limits() {
		return new Object[][] { { 264 }, { 300 }, { 2_212 }, { 65_536 }, { Integer.MAX_VALUE } };
	}

	/**
	 * Guards against callers that leave no descriptor for the servers of their requests.
	 */
	@Test(dataProvider = "limits")
	public void eachCallerHasADescriptorForItsServer(int maxDescriptors) {
		DescriptorShares shares = DescriptorShares.of(maxDescriptors, 200);
		long clients = (long) shares.callers() + shares.readiness() + shares.metrics();
		long waiting = (long) DescriptorShares.waiting(shares.callers())
				+ 2L * DescriptorShares.waiting(shares.readiness());
		assertTrue(clients + waiting + shares.callers() + 200 <= maxDescriptors, shares.toString());
		assertTrue(shares.callers() >= 19 && shares.readiness() >= 6 && shares.metrics() >= 6, shares.toString());
	}

	@Test
	public void smallestMachineOfAGateway() {
		assertEquals(DescriptorShares.of(2_212, 200), new DescriptorShares(823, 64, 64));
	}

	@Test
	public void tooFewDescriptorsAreRejected() {
		assertThrows(IllegalArgumentException.class, () -> DescriptorShares.of(263, 200));
	}

}
