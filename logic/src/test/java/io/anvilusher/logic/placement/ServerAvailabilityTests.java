package io.anvilusher.logic.placement;

import org.testng.annotations.Test;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class ServerAvailabilityTests {

	@Test
	public void aServerAcceptsRequestsUntilItAnnouncesThatItLeaves() {
		ServerAvailability availability = new ServerAvailability();
		assertTrue(availability.isAccepting());
		assertTrue(availability.onLeaving());
		assertFalse(availability.isAccepting());
	}

	@Test
	public void onlyTheFirstAnnouncementIsNew() {
		ServerAvailability availability = new ServerAvailability();
		availability.onLeaving();
		assertFalse(availability.onLeaving());
		assertFalse(availability.isAccepting());
	}

}
