package io.anvilusher.gateway.request;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import io.anvilusher.adapters.metrics.Meters;
import io.anvilusher.gateway.limit.ServerLimits;
import io.anvilusher.logic.limit.PermitHolder;
import io.anvilusher.logic.placement.Placement;
import io.anvilusher.logic.placement.TrackedServer;
import io.anvilusher.model.fleet.RegisteredServer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class LimitedPlacementTests {

	private final TrackedServer one = server("one");

	private final TrackedServer two = server("two");

	private final List<TrackedServer> both = List.of(this.one, this.two);

	private LimitsStub limits;

	private LimitedPlacement placement;

	private static TrackedServer server(String id) {
		return new TrackedServer(new RegisteredServer(id, 1, "s", id + ":80", "a", 4, false, Optional.empty()));
	}

	@BeforeMethod
	public void start() {
		this.limits = new LimitsStub();
		this.placement = new LimitedPlacement(this.limits, new Meters(), "s");
	}

	private static Placement first(List<TrackedServer> servers) {
		return servers.isEmpty() ? new Placement.NoServer() : new Placement.SingleServer(servers.get(0), 0);
	}

	private static Placement split(List<TrackedServer> servers) {
		return (servers.size() < 2) ? new Placement.NoServer() : new Placement.Split(servers.get(0), servers.get(1), 1);
	}

	@Test
	public void serverWithAPermitIsUsed() {
		assertEquals(this.placement.place(this.both, LimitedPlacementTests::first, 0), first(this.both));
		assertTrue(this.limits.wanted.isEmpty());
	}

	@Test
	public void serverWithoutAPermitIsWantedAndAnotherOneIsUsed() {
		this.limits.lacking.add(this.one);
		assertEquals(this.placement.place(this.both, LimitedPlacementTests::first, 0), first(List.of(this.two)));
		assertEquals(this.limits.wanted, List.of(this.one));
	}

	@Test
	public void requestWaitsIfNoServerHasAPermit() {
		this.limits.lacking.addAll(this.both);
		assertEquals(this.placement.place(this.both, LimitedPlacementTests::first, 0), new Placement.Full());
		assertEquals(this.limits.wanted, this.both);
	}

	@Test
	public void requestWaitsIfOnlyAFailingServerIsLeft() {
		this.limits.lacking.add(this.one);
		TrackedServer failing = server("failing");
		failing.health().onConnectionFailure(0);
		assertEquals(this.placement.place(List.of(this.one, failing), LimitedPlacementTests::first, 1),
				new Placement.Full());
	}

	@Test
	public void withoutAnyServerThereIsNoneToWaitFor() {
		assertEquals(this.placement.place(List.of(), LimitedPlacementTests::first, 0), new Placement.NoServer());
	}

	@Test
	public void bothEnginesOfASplitNeedPermits() {
		TrackedServer three = server("three");
		this.limits.lacking.add(this.two);
		assertEquals(this.placement.place(List.of(this.one, this.two, three), LimitedPlacementTests::split, 0),
				new Placement.Split(this.one, three, 1));
	}

	/** Guards against one request that counts as many while it waits. */
	@Test
	public void waitingRequestIsCountedAgainOnlyAfterTheInterval() {
		this.limits.lacking.addAll(this.both);
		for (long nowMs = 0; nowMs < ServerLimits.WANTED_INTERVAL_MS; nowMs += 5) {
			this.placement.place(this.both, LimitedPlacementTests::first, nowMs);
		}
		assertEquals(this.limits.wanted, this.both);
		this.placement.place(this.both, LimitedPlacementTests::first, ServerLimits.WANTED_INTERVAL_MS);
		assertEquals(this.limits.wanted.size(), 4);
	}

	@Test
	public void decodeEngineWithAPermitIsSelected() {
		this.limits.lacking.add(this.one);
		assertEquals(this.placement.placeDecode(this.both, (engines) -> engines.stream().findFirst(), 0),
				Optional.of(this.two));
		this.limits.lacking.add(this.two);
		assertEquals(this.placement.placeDecode(this.both, (engines) -> engines.stream().findFirst(), 0),
				Optional.empty());
	}

	/**
	 * Guards against a fetch of a KV cache with a permit that the keeper has replaced.
	 */
	@Test
	public void permitOfADecodeEngineExpires() {
		assertTrue(this.placement.takeForDecode(this.one, 0));
		this.limits.lacking.add(this.one);
		assertTrue(this.placement.mayDecode(this.one, PermitHolder.PERMIT_MS - 1));
		assertFalse(this.placement.mayDecode(this.one, PermitHolder.PERMIT_MS - 1), "it was used");
		this.limits.lacking.clear();
		assertTrue(this.placement.takeForDecode(this.one, 0));
		this.limits.lacking.add(this.one);
		assertFalse(this.placement.mayDecode(this.one, PermitHolder.PERMIT_MS));
	}

	@Test
	public void permitOfADecodeEngineIsNotValidForAnother() {
		assertTrue(this.placement.takeForDecode(this.one, 0));
		this.limits.lacking.add(this.two);
		assertFalse(this.placement.mayDecode(this.two, 1));
	}

	/**
	 * Limits in which a test names the servers that lack a permit.
	 */
	private static final class LimitsStub implements ServerLimits {

		private final Set<TrackedServer> lacking = new HashSet<>();

		private final List<TrackedServer> wanted = new ArrayList<>();

		@Override
		public void onResponse(RegisteredServer server, OptionalDouble limitPerS, long requestSentAtMs) {
			throw new UnsupportedOperationException();
		}

		@Override
		public void onInvalid(RegisteredServer server) {
			throw new UnsupportedOperationException();
		}

		@Override
		public boolean isLimited(TrackedServer server) {
			return this.lacking.contains(server);
		}

		@Override
		public boolean hasPermit(TrackedServer server) {
			return !this.lacking.contains(server);
		}

		@Override
		public boolean tryTake(TrackedServer server) {
			return hasPermit(server);
		}

		@Override
		public void onWanted(TrackedServer server) {
			this.wanted.add(server);
		}

		@Override
		public boolean allowsPolls(RegisteredServer server) {
			throw new UnsupportedOperationException();
		}

		@Override
		public void countCall(String address) {
			throw new UnsupportedOperationException();
		}

		@Override
		public OptionalLong nextPermitInMs(List<TrackedServer> servers) {
			return OptionalLong.empty();
		}

		@Override
		public void onPermits(Runnable listener) {
			throw new UnsupportedOperationException();
		}

	}

}
