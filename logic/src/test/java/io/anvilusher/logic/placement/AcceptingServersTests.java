package io.anvilusher.logic.placement;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import io.anvilusher.model.fleet.EngineRole;
import io.anvilusher.model.fleet.RegisteredServer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class AcceptingServersTests {

	private static final long NOW_MS = 1_000;

	private TrackedServer one;

	private TrackedServer two;

	private List<TrackedServer> servers;

	@BeforeMethod
	public void resetServers() {
		this.one = trackedServer("one", EngineRole.DECODE);
		this.two = trackedServer("two", EngineRole.DECODE);
		this.servers = List.of(this.one, this.two, trackedServer("reader", EngineRole.PREFILL));
	}

	private static TrackedServer trackedServer(String id, EngineRole role) {
		return new TrackedServer(new RegisteredServer(id, 1, "s", "10.0.0.1:80", "a", 6, false, Optional.of(role)));
	}

	@Test
	public void leavesOutServersThatLeaveOrPause() {
		this.one.availability().onLeaving();
		this.two.availability().onPauseRequested(100, NOW_MS);
		assertEquals(AcceptingServers.select(this.servers, NOW_MS), this.servers.subList(2, 3));
		assertEquals(AcceptingServers.select(this.servers, NOW_MS + 100), this.servers.subList(1, 3));
	}

	@Test
	public void theFirstServerAcceptsAfterTheShortestPause() {
		this.one.availability().onPauseRequested(300, NOW_MS);
		assertEquals(AcceptingServers.firstAcceptsInMs(this.servers, NOW_MS), OptionalLong.empty());
		assertTrue(AcceptingServers.isAnyPaused(this.servers, NOW_MS));
		this.two.availability().onPauseRequested(200, NOW_MS);
		assertEquals(AcceptingServers.firstAcceptsInMs(this.servers, NOW_MS), OptionalLong.of(200));
	}

	@Test
	public void aLeavingServerIsNotWaitedFor() {
		this.one.availability().onPauseRequested(100, NOW_MS);
		this.one.availability().onLeaving();
		this.two.availability().onPauseRequested(300, NOW_MS);
		assertEquals(AcceptingServers.firstAcceptsInMs(this.servers, NOW_MS), OptionalLong.of(300));
		this.two.availability().onLeaving();
		assertEquals(AcceptingServers.firstAcceptsInMs(this.servers, NOW_MS), OptionalLong.empty());
		assertFalse(AcceptingServers.isAnyPaused(this.servers, NOW_MS));
	}

}
