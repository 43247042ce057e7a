package io.anvilusher.logic.placement;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class ServerAvailabilityTests {

	private static final long NOW_MS = 1_000;

	@Test
	public void aServerAcceptsRequestsUntilItAnnouncesThatItLeaves() {
		ServerAvailability availability = new ServerAvailability();
		assertTrue(availability.isAccepting(NOW_MS));
		assertFalse(availability.hasAnnouncement());
		assertTrue(availability.onLeaving());
		assertFalse(availability.isAccepting(NOW_MS));
		assertTrue(availability.hasAnnouncement());
	}

	@Test
	public void onlyTheFirstAnnouncementIsNew() {
		ServerAvailability availability = new ServerAvailability();
		availability.onLeaving();
		assertFalse(availability.onLeaving());
		assertFalse(availability.isAccepting(NOW_MS));
	}

	@Test
	public void aPauseEndsWhenItsTimeIsOver() {
		ServerAvailability availability = new ServerAvailability();
		assertTrue(availability.onPauseRequested(300, NOW_MS));
		assertEquals(availability.pauseLeftMs(NOW_MS + 100), 200);
		assertFalse(availability.isAccepting(NOW_MS + 299));
		assertTrue(availability.isAccepting(NOW_MS + 300));
		assertTrue(availability.onPauseRequested(300, NOW_MS + 300));
	}

	@Test
	public void aPauseIsExtendedButNeverShortened() {
		ServerAvailability availability = new ServerAvailability();
		availability.onPauseRequested(300, NOW_MS);
		assertFalse(availability.onPauseRequested(100, NOW_MS + 50));
		assertEquals(availability.pauseLeftMs(NOW_MS + 50), 250);
		assertFalse(availability.onPauseRequested(400, NOW_MS + 50));
		assertEquals(availability.pauseLeftMs(NOW_MS + 50), 400);
	}

	@Test
	public void thePauseOfOneResponseIsBounded() {
		ServerAvailability availability = new ServerAvailability();
		availability.onPauseRequested(Long.MAX_VALUE, NOW_MS);
		assertEquals(availability.pauseLeftMs(NOW_MS), ServerAvailability.MAX_PAUSE_MS);
	}

	@Test
	public void aPauseOfNoLengthIsNone() {
		ServerAvailability availability = new ServerAvailability();
		assertFalse(availability.onPauseRequested(0, NOW_MS));
		assertTrue(availability.isAccepting(NOW_MS));
	}

	@Test
	public void theEndOfAPauseDoesNotEndTheLeaving() {
		ServerAvailability availability = new ServerAvailability();
		availability.onLeaving();
		availability.onPauseRequested(300, NOW_MS);
		assertFalse(availability.isAccepting(NOW_MS + 300));
	}

}
