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

	private ServerTrack near = track("near", "a");

	private ServerTrack far = track("far", "b");

	@BeforeMethod
	public void forgetLoad() {
		this.near = track("near", "a");
		this.far = track("far", "b");
	}

	private static ServerTrack track(String id, String dataCentre) {
		return new ServerTrack(new RegisteredServer(id, 1, "s", "10.0.0.1:80", dataCentre, 6, false, Optional.empty()));
	}

	private String chosen(long nowMs) {
		Placement placement = this.placer.place(List.of(this.far, this.near), Set.of(), nowMs);
		return ((Placement.Whole) placement).server().server().id();
	}

	@Test
	public void prefersItsDataCentreWhileThatCostsNothing() {
		assertEquals(chosen(0), "near");
		IntStream.range(0, 6).forEach((index) -> this.near.onSent(0));
		assertEquals(chosen(0), "far");
	}

	@Test
	public void avoidsAServerThatFailsPartOfItsRequests() {
		ServerTrack grey = track("near", "a");
		IntStream.range(0, 20).forEach((index) -> {
			grey.health().onAnswered(20);
			grey.health().onFailed();
		});
		Placement placement = this.placer.place(List.of(grey, this.far), Set.of(), 0);
		assertEquals(((Placement.Whole) placement).server(), this.far);
	}

	@Test
	public void avoidsASilentServerUntilItIsHeard() {
		ServerTrack silent = track("near", "a");
		silent.onSent(0);
		assertTrue(silent.health().isDoubtful(ServerHealth.MIN_SILENCE_MS + 1));
		silent.health().onHeard(500);
		assertTrue(!silent.health().isDoubtful(500 + ServerHealth.MIN_SILENCE_MS));
	}

	@Test
	public void turnsAwayWhenAllQueuesAreFull() {
		IntStream.range(0, 12).forEach((index) -> {
			this.near.onSent(0);
			this.far.onSent(0);
		});
		assertTrue(this.placer.place(List.of(this.near, this.far), Set.of(), 0) instanceof Placement.Full);
	}

	@Test
	public void usesADoubtfulServerRatherThanNone() {
		this.near.health().onBroken(0);
		Placement placement = this.placer.place(List.of(this.near), Set.of(), 1);
		assertEquals(((Placement.Whole) placement).server(), this.near);
	}

}
