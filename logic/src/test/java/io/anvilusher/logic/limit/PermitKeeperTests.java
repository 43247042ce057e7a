package io.anvilusher.logic.limit;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.stream.IntStream;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class PermitKeeperTests {

	private static final long START_MS = 1_000_000;

	/** Part of a wanted limit that must be used. */
	private static final double USED_PART = 0.8;

	private static final int MANY_WISHES = 1_000;

	private static PermitKeeper keeper(int gateways, double limitPerS) {
		PermitKeeper keeper = new PermitKeeper(77);
		Map<String, Double> capacities = new HashMap<>();
		IntStream.range(0, gateways).forEach((index) -> capacities.put("g" + index, 1.0));
		keeper.setGateways(capacities, START_MS - Electorate.JOIN_MS);
		keeper.setLimit("s", OptionalDouble.of(limitPerS), START_MS - Electorate.JOIN_MS);
		return keeper;
	}

	private static PermitWish wish(long sequence, int permits) {
		return new PermitWish("s", 1, sequence, permits, 0);
	}

	private static int permits(List<OutgoingGrant> grants) {
		return grants.stream().mapToInt((outgoing) -> outgoing.grant().permits()).sum();
	}

	/** Lets gateways wish for permits for some time, and counts those that are issued. */
	private static int issued(PermitKeeper keeper, int wishing, long fromMs, long durationMs) {
		int issued = 0;
		for (long ms = fromMs; ms < fromMs + durationMs; ms += 20) {
			if ((ms - fromMs) % 200 == 0) {
				for (int index = 0; index < wishing; index++) {
					issued += permits(keeper.receive("g" + index, wish(ms, MANY_WISHES), ms));
				}
			}
			issued += permits(keeper.dueGrants(ms));
		}
		return issued;
	}

	@Test
	public void startsWithoutPermits() {
		assertEquals(permits(keeper(1, 100).receive("g0", wish(START_MS, 50), START_MS)), 0);
	}

	@Test
	public void majorityGetsTheFullRate() {
		int issued = issued(keeper(4, 10), 3, START_MS, 10_000);
		assertTrue(issued >= 97 && issued <= 100, "issued " + issued);
	}

	@Test
	public void minorityGetsHalfOfTheRateInProportion() {
		int issued = issued(keeper(4, 10), 2, START_MS, 10_000);
		assertTrue(issued >= 23 && issued <= 25, "issued " + issued);
	}

	@Test
	public void unknownListCountsAsManyGateways() {
		PermitKeeper keeper = new PermitKeeper(77);
		keeper.setLimit("s", OptionalDouble.of(1_000), START_MS);
		int issued = issued(keeper, 1, START_MS, 10_000);
		assertTrue(issued >= 48 && issued <= 50, "issued " + issued);
	}

	@Test
	public void gatewaysThatJoinedDoNotMakeMajority() {
		PermitKeeper keeper = keeper(2, 100);
		Map<String, Double> capacities = new HashMap<>();
		IntStream.range(0, 10).forEach((index) -> capacities.put("g" + index, 1.0));
		keeper.setGateways(capacities, START_MS);
		int early = issued(keeper, 9, START_MS, 2_000);
		assertTrue(early <= 2_000 * 100 / 4 / 1_000, "issued " + early);
		int late = issued(keeper, 9, START_MS + Electorate.JOIN_MS, 2_000);
		assertTrue(late >= USED_PART * 2 * 100, "issued " + late);
	}

	@Test
	public void permitsThatAreSavedUpAreBounded() {
		PermitKeeper keeper = keeper(1, 100);
		issued(keeper, 1, START_MS, 1_000);
		for (long ms = START_MS + 1_000; ms < START_MS + 6_000; ms += 500) {
			keeper.receive("g0", wish(ms, 0), ms);
		}
		long nowMs = START_MS + 6_000;
		assertEquals(permits(keeper.receive("g0", wish(nowMs, MANY_WISHES), nowMs)), 25);
	}

	@Test
	public void lowerLimitHoldsAtOnce() {
		PermitKeeper keeper = keeper(1, 1_000);
		issued(keeper, 1, START_MS, 1_000);
		for (long ms = START_MS + 1_000; ms < START_MS + 2_000; ms += 100) {
			keeper.receive("g0", wish(ms, 0), ms);
		}
		keeper.setLimit("s", OptionalDouble.of(2), START_MS + 2_000);
		int issued = issued(keeper, 1, START_MS + 2_000, 2_000);
		assertTrue(issued >= 4 && issued <= 5, "issued " + issued);
	}

	@Test
	public void waitingGatewaysGetPermitsInTurn() {
		PermitKeeper keeper = keeper(5, 10);
		Map<String, Integer> granted = new HashMap<>();
		for (long ms = START_MS; ms < START_MS + 10_000; ms += 20) {
			for (int index = 0; index < 5 && ms % 100 == 0; index++) {
				count(granted, keeper.receive("g" + index, wish(ms, 1 + 100 * index), ms));
			}
			count(granted, keeper.dueGrants(ms));
		}
		assertTrue(granted.values().stream().allMatch((permits) -> permits >= 18 && permits <= 21),
				"granted " + granted);
	}

	private static void count(Map<String, Integer> granted, List<OutgoingGrant> grants) {
		grants.forEach((outgoing) -> granted.merge(outgoing.gateway(), outgoing.grant().permits(), Integer::sum));
	}

	@Test
	public void repeatedAndReorderedWishesAreIgnored() {
		PermitKeeper keeper = keeper(1, 100);
		assertEquals(keeper.receive("g0", wish(START_MS, 0), START_MS).size(), 1);
		assertEquals(keeper.receive("g0", wish(START_MS, 0), START_MS + 10), List.of());
		assertEquals(keeper.receive("g0", wish(START_MS - 5, 0), START_MS + 20), List.of());
		assertEquals(keeper.receive("g0", new PermitWish("s", 2, 5, 0, 0), START_MS + 30).size(), 1);
		assertEquals(keeper.receive("g0", wish(START_MS + 1, 0), START_MS + 40), List.of());
	}

	@Test
	public void wishesThatWereDelayedDoNotSupport() {
		PermitKeeper keeper = keeper(1, 100);
		keeper.receive("g0", wish(START_MS, 0), START_MS);
		long resumedMs = START_MS + 5_000;
		List<OutgoingGrant> grants = keeper.receive("g0", wish(START_MS + 800, 0), resumedMs);
		assertEquals(grants.get(0).grant().supporters(), 0);
	}

	@Test
	public void callsWithoutPermitDelayTheNextOnes() {
		PermitKeeper keeper = keeper(1, 10);
		issued(keeper, 1, START_MS, 1_000);
		keeper.receive("g0", new PermitWish("s", 1, START_MS + 1_000, 0, 10), START_MS + 1_000);
		int issued = issued(keeper, 1, START_MS + 1_020, 2_000);
		assertTrue(issued >= 9 && issued <= 11, "issued " + issued);
	}

	@Test
	public void serverWithoutKnownLimitIsNotAnswered() {
		PermitKeeper keeper = keeper(1, 10);
		keeper.setLimit("s", OptionalDouble.empty(), START_MS);
		assertEquals(keeper.receive("g0", wish(START_MS, 1), START_MS), List.of());
		assertEquals(keeper.dueGrants(START_MS + 20), List.of());
	}

}
