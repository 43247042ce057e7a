package io.anvilusher.logic.placement;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import io.anvilusher.model.fleet.RegisteredServer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class PlainPlacerTests {

	private final PlainPlacer placer = new PlainPlacer("a");

	private TrackedServer near = trackedServer("near", "a");

	private TrackedServer far = trackedServer("far", "b");

	@BeforeMethod
	public void resetServers() {
		this.near = trackedServer("near", "a");
		this.far = trackedServer("far", "b");
	}

	private static TrackedServer trackedServer(String id, String dataCentre) {
		return new TrackedServer(
				new RegisteredServer(id, 1, "s", "10.0.0.1:80", dataCentre, 6, false, Optional.empty()));
	}

	private String selectedServer(long nowMs) {
		Placement placement = this.placer.place(List.of(this.far, this.near), Set.of(), nowMs);
		return ((Placement.SingleServer) placement).server().server().id();
	}

	@Test
	public void prefersItsDataCentreWhileThatIsNotSlower() {
		assertEquals(selectedServer(0), "near");
		IntStream.range(0, 6).forEach((index) -> this.near.onSent(0));
		assertEquals(selectedServer(0), "far");
	}

	@Test
	public void avoidsAServerThatFailsPartOfItsRequests() {
		TrackedServer failing = trackedServer("near", "a");
		IntStream.range(0, 20).forEach((index) -> {
			failing.health().onResponse(20);
			failing.health().onFailed();
		});
		Placement placement = this.placer.place(List.of(failing, this.far), Set.of(), 0);
		assertEquals(((Placement.SingleServer) placement).server(), this.far);
	}

	@Test
	public void avoidsAnUnresponsiveServerUntilItSendsData() {
		TrackedServer unresponsive = trackedServer("near", "a");
		unresponsive.onSent(0);
		assertTrue(unresponsive.health().isUnhealthy(ServerHealth.MIN_SILENCE_MS + 1));
		unresponsive.health().onDataReceived(500);
		assertTrue(!unresponsive.health().isUnhealthy(500 + ServerHealth.MIN_SILENCE_MS));
	}

	@Test
	public void rejectsWhenAllQueuesAreFull() {
		IntStream.range(0, 12).forEach((index) -> {
			this.near.onSent(0);
			this.far.onSent(0);
		});
		assertTrue(this.placer.place(List.of(this.near, this.far), Set.of(), 0) instanceof Placement.Full);
	}

	@Test
	public void usesAnUnhealthyServerRatherThanNone() {
		this.near.health().onConnectionFailure(0);
		Placement placement = this.placer.place(List.of(this.near), Set.of(), 1);
		assertEquals(((Placement.SingleServer) placement).server(), this.near);
	}

	// Servers that differ by 5% share light load; otherwise one of them is never tried.
	@Test
	public void idleEqualServerGetsAPartOfLightLoad() {
		TrackedServer favourite = trackedServer("one", "a");
		TrackedServer idle = trackedServer("two", "a");
		long nowMs = 0;
		int sentToIdle = 0;
		favourite.health().onResponse(19);
		idle.health().onResponse(20);
		for (int request = 0; request < 2_000; request++) {
			Placement placement = this.placer.place(List.of(favourite, idle), Set.of(), nowMs);
			TrackedServer selected = ((Placement.SingleServer) placement).server();
			sentToIdle += (selected == idle) ? 1 : 0;
			selected.onSent(nowMs);
			nowMs += 20;
			selected.health().onResponse((selected == favourite) ? 19 : 20);
			selected.onEnded();
		}
		assertTrue(sentToIdle >= 2_000 / 10, sentToIdle + " of 2,000 requests");
	}

}
