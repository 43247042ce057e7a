package io.anvilusher.logic.limit;

import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.OptionalLong;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

public class PermitHolderTests {

	private static final long START_MS = 1_000_000;

	private static final long RUN = 5;

	private PermitHolder holder = new PermitHolder("g0", RUN);

	@BeforeMethod
	public void start() {
		this.holder = new PermitHolder("g0", RUN);
		this.holder.setGateways(Map.of("g0", 1.0, "g1", 1.0, "g2", 1.0), START_MS);
		this.holder.setLimit("s", OptionalDouble.of(100), START_MS);
	}

	private OutgoingWish wishAt(long nowMs) {
		List<OutgoingWish> due = this.holder.dueWishes(nowMs);
		assertEquals(due.size(), 1);
		return due.get(0);
	}

	private void answer(OutgoingWish asked, int permits, int supporters, long nowMs) {
		this.holder.receive(asked.gateway(),
				new PermitGrant("s", 9, RUN, asked.wish().sequence(), permits, supporters, 40), nowMs);
	}

	@Test
	public void serverWithoutLimitNeedsNoPermit() {
		assertTrue(this.holder.hasPermit("t", START_MS));
		assertTrue(this.holder.tryTake("t", START_MS));
		assertEquals(this.holder.nextPermitInMs("t", START_MS), OptionalLong.empty());
		this.holder.setLimit("s", OptionalDouble.empty(), START_MS);
		assertTrue(this.holder.tryTake("s", START_MS));
		assertEquals(this.holder.dueWishes(START_MS), List.of());
	}

	@Test
	public void permitIsUsedOnceAndExpires() {
		assertFalse(this.holder.tryTake("s", START_MS));
		this.holder.onWanted("s", START_MS);
		OutgoingWish asked = wishAt(START_MS);
		assertEquals(asked.wish().permits(), 1);
		answer(asked, 2, 3, START_MS + 100);
		assertEquals(this.holder.nextPermitInMs("s", START_MS + 100), OptionalLong.of(0));
		assertTrue(this.holder.tryTake("s", START_MS + PermitHolder.PERMIT_MS - 1));
		assertFalse(this.holder.tryTake("s", START_MS + PermitHolder.PERMIT_MS));
	}

	@Test
	public void repeatedLateAndForeignGrantsAreHarmless() {
		this.holder.onWanted("s", START_MS);
		OutgoingWish asked = wishAt(START_MS);
		answer(asked, 0, 3, START_MS + 5);
		answer(asked, 1, 3, START_MS + 50);
		answer(asked, 1, 3, START_MS + 60);
		this.holder.receive("other", new PermitGrant("s", 9, RUN, asked.wish().sequence(), 1, 3, 0), START_MS + 70);
		this.holder.receive(asked.gateway(), new PermitGrant("s", 9, RUN - 1, asked.wish().sequence(), 1, 3, 0),
				START_MS + 70);
		assertTrue(this.holder.tryTake("s", START_MS + 80));
		assertFalse(this.holder.tryTake("s", START_MS + 80));
		this.holder.onWanted("s", START_MS + 100);
		OutgoingWish second = wishAt(START_MS + 100);
		answer(second, 1, 3, START_MS + 100 + PermitHolder.PERMIT_MS);
		assertFalse(this.holder.hasPermit("s", START_MS + 100 + PermitHolder.PERMIT_MS));
	}

	@Test
	public void supportsWithoutTraffic() {
		int wishes = 0;
		for (long ms = START_MS; ms < START_MS + 10_000; ms += 20) {
			for (OutgoingWish due : this.holder.dueWishes(ms)) {
				assertEquals(due.wish().permits(), 0);
				answer(due, 0, 3, ms + 1);
				wishes++;
			}
		}
		assertTrue(wishes >= 10 && wishes <= 14, "wishes " + wishes);
	}

	@Test
	public void asksTheNextKeeperOnlyAfterItsSupportHasEnded() {
		OutgoingWish first = wishAt(START_MS);
		long lastAskedMs = START_MS;
		OutgoingWish next = first;
		for (long ms = START_MS + 20; next.gateway().equals(first.gateway()); ms += 20) {
			List<OutgoingWish> due = this.holder.dueWishes(ms);
			if (!due.isEmpty()) {
				next = due.get(0);
				if (next.gateway().equals(first.gateway())) {
					lastAskedMs = ms;
				}
				else {
					assertTrue(ms - lastAskedMs >= PermitHolder.SUPPORT_MS, "asked after " + (ms - lastAskedMs));
				}
			}
			assertTrue(ms < START_MS + 2_000, "still asks " + next.gateway());
		}
		assertNotEquals(next.gateway(), first.gateway());
	}

	@Test
	public void pauseOfThisGatewayDoesNotLoseTheKeeper() {
		OutgoingWish first = wishAt(START_MS);
		assertEquals(wishAt(START_MS + 3_000).gateway(), first.gateway());
		this.holder.dueWishes(START_MS + 3_020);
		assertEquals(wishAt(START_MS + 3_260).gateway(), first.gateway());
	}

	@Test
	public void lowerLimitReducesTheStock() {
		this.holder.onWanted("s", START_MS);
		answer(wishAt(START_MS), 20, 3, START_MS + 5);
		this.holder.setLimit("s", OptionalDouble.of(4), START_MS + 10);
		assertTrue(this.holder.tryTake("s", START_MS + 10));
		assertFalse(this.holder.tryTake("s", START_MS + 10));
	}

	@Test
	public void callsWithoutPermitAreReported() {
		answer(wishAt(START_MS), 0, 3, START_MS + 5);
		this.holder.countCall("s", START_MS + 10);
		this.holder.countCall("s", START_MS + 10);
		OutgoingWish reporting = wishAt(START_MS + 120);
		assertEquals(reporting.wish().calls(), 2);
		int calls = 0;
		for (long ms = START_MS + 140; ms < START_MS + 2_000; ms += 20) {
			calls += this.holder.dueWishes(ms).stream().mapToInt((due) -> due.wish().calls()).sum();
		}
		assertTrue(calls >= 2, "calls of the unanswered wish were lost");
	}

	@Test
	public void estimatesTheWait() {
		this.holder.onWanted("s", START_MS);
		answer(wishAt(START_MS), 0, 3, START_MS + 5);
		assertEquals(this.holder.nextPermitInMs("s", START_MS + 15), OptionalLong.of(30));
	}

	@Test
	public void singleGatewayAsksItself() {
		PermitHolder single = new PermitHolder("g0", RUN);
		PermitKeeper keeper = new PermitKeeper(RUN);
		single.setGateways(Map.of("g0", 1.0), START_MS);
		keeper.setGateways(Map.of("g0", 1.0), START_MS);
		single.setLimit("s", OptionalDouble.of(50), START_MS);
		keeper.setLimit("s", OptionalDouble.of(50), START_MS);
		int taken = 0;
		for (long ms = START_MS; ms < START_MS + 2_000; ms += 10) {
			long nowMs = ms;
			if (single.tryTake("s", nowMs)) {
				taken++;
			}
			else {
				single.onWanted("s", nowMs);
			}
			single.dueWishes(nowMs)
				.forEach((due) -> keeper.receive(due.gateway(), due.wish(), nowMs)
					.forEach((answer) -> single.receive(due.gateway(), answer.grant(), nowMs)));
			keeper.dueGrants(nowMs).forEach((grant) -> single.receive("g0", grant.grant(), nowMs));
		}
		assertTrue(taken >= 90 && taken <= 100, "taken " + taken);
	}

}
