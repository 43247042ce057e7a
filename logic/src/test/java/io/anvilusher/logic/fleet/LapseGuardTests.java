package io.anvilusher.logic.fleet;

import java.util.Map;
import java.util.Optional;

import org.testng.annotations.Test;

import io.anvilusher.model.fleet.RegisteredServer;

import static org.testng.Assert.assertEquals;

public class LapseGuardTests {

	private static final RegisteredServer ONE = server("one", "10.0.0.1:80", false);

	private static RegisteredServer server(String id, String address, boolean draining) {
		return new RegisteredServer(id, 1, "s", address, "a", 4, draining, Optional.empty());
	}

	@Test
	public void keepsServersThatLapsedDuringAnOutage() {
		LapseGuard guard = new LapseGuard();
		guard.inUse(Map.of("one", ONE), 0);
		guard.onUnreachable(1_000);
		guard.onReachable(5_000);
		assertEquals(guard.inUse(Map.of(), 5_010), Map.of("one", ONE));
	}

	@Test
	public void takesServersForGoneThatDoNotReturn() {
		LapseGuard guard = new LapseGuard();
		guard.inUse(Map.of("one", ONE), 0);
		guard.onUnreachable(1_000);
		guard.onReachable(5_000);
		guard.inUse(Map.of(), 5_010);
		assertEquals(guard.inUse(Map.of(), 5_000 + LapseGuard.RETURN_MS), Map.of());
	}

	/**
	 * A server must get no new work within 2 s of its leaving, also after a failed read.
	 */
	@Test
	public void dropsServersThatLeaveAfterAShortFailure() {
		LapseGuard guard = new LapseGuard();
		guard.inUse(Map.of("one", ONE), 0);
		guard.onUnreachable(1_000);
		guard.onReachable(1_150);
		assertEquals(guard.inUse(Map.of(), 1_200), Map.of());
	}

	@Test
	public void dropsServersThatLeaveWithoutAnOutage() {
		LapseGuard guard = new LapseGuard();
		guard.inUse(Map.of("one", ONE), 0);
		assertEquals(guard.inUse(Map.of(), 10), Map.of());
	}

	@Test
	public void dropsALapsedServerWhoseAddressAnotherOneHas() {
		LapseGuard guard = new LapseGuard();
		guard.inUse(Map.of("one", ONE), 0);
		guard.onUnreachable(1_000);
		guard.onReachable(5_000);
		RegisteredServer two = server("two", "10.0.0.1:80", false);
		assertEquals(guard.inUse(Map.of("two", two), 5_010), Map.of("two", two));
	}

	@Test
	public void doesNotBringADrainingServerBack() {
		LapseGuard guard = new LapseGuard();
		guard.inUse(Map.of("one", server("one", "10.0.0.1:80", true)), 0);
		guard.onUnreachable(1_000);
		guard.onReachable(5_000);
		assertEquals(guard.inUse(Map.of(), 5_010), Map.of());
	}

}
