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
	public void keepsServersWhoseRegistrationExpiredDuringAnOutage() {
		LapseGuard guard = new LapseGuard();
		guard.inUse(Map.of("one", ONE), 0);
		guard.onUnreachable(1_000);
		guard.onReachable(5_000);
		assertEquals(guard.inUse(Map.of(), 5_010), Map.of("one", ONE));
	}

	@Test
	public void dropsServersThatDoNotRegisterAgain() {
		LapseGuard guard = new LapseGuard();
		guard.inUse(Map.of("one", ONE), 0);
		guard.onUnreachable(1_000);
		guard.onReachable(5_000);
		guard.inUse(Map.of(), 5_010);
		assertEquals(guard.inUse(Map.of(), 5_000 + LapseGuard.REREGISTRATION_MS), Map.of());
	}

	/**
	 * Guards the limit of 2 s within which a leaving server must stop getting new
	 * requests: a short failure to read the store must not keep the server in use.
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
	public void dropsAnExpiredServerWhoseAddressAnotherServerHas() {
		LapseGuard guard = new LapseGuard();
		guard.inUse(Map.of("one", ONE), 0);
		guard.onUnreachable(1_000);
		guard.onReachable(5_000);
		RegisteredServer two = server("two", "10.0.0.1:80", false);
		assertEquals(guard.inUse(Map.of("two", two), 5_010), Map.of("two", two));
	}

	@Test
	public void doesNotKeepADrainingServer() {
		LapseGuard guard = new LapseGuard();
		guard.inUse(Map.of("one", server("one", "10.0.0.1:80", true)), 0);
		guard.onUnreachable(1_000);
		guard.onReachable(5_000);
		assertEquals(guard.inUse(Map.of(), 5_010), Map.of());
	}

}
