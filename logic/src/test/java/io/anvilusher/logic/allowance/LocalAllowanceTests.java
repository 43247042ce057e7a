package io.anvilusher.logic.allowance;

import java.util.List;
import java.util.Map;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import io.anvilusher.model.routing.AllowanceUnit;
import io.anvilusher.model.routing.WorkspaceLimit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class LocalAllowanceTests {

	private static final AllowanceTerms TERMS = new AllowanceTerms(8_000, 0, 0);

	/** 900 in each window. */
	private static final WorkspaceLimit LIMIT = new WorkspaceLimit(100, 100, AllowanceUnit.REQUESTS, 0);

	private static final Map<String, Double> GATEWAYS = Map.of("a", 1.0, "b", 1.0, "c", 1.0);

	private LocalAllowance local;

	private long nowMs;

	@BeforeMethod
	public void createLocalSide() {
		this.nowMs = 1_000;
		this.local = new LocalAllowance(TERMS, "a", 7);
		this.local.setLimits(Map.of("w", LIMIT), this.nowMs);
	}

	private boolean admits(String workspace, long cost) {
		return this.local.admit(workspace, cost, this.nowMs) instanceof AllowanceDecision.Admitted;
	}

	private AllowanceCharge charge(long cost) {
		return ((AllowanceDecision.Admitted) this.local.admit("w", cost, this.nowMs)).charge();
	}

	private long retryAfterMs(long cost) {
		return ((AllowanceDecision.Refused) this.local.admit("w", cost, this.nowMs)).retryAfterMs();
	}

	/** Exchanges messages with an allocator that grants a ceiling. */
	private void joinGroupOf(String allocator, long run, long ceiling) {
		for (long number = 1; number <= 100; number++) {
			this.nowMs += 20;
			for (OutgoingReport outgoing : this.local.dueReports(this.nowMs)) {
				boolean joined = outgoing.report().echoRun() == run;
				if (outgoing.gateway().equals(allocator)) {
					this.local.receive(
							allocator, new AllowanceGrant(run, 1_000 * number, 7, outgoing.report().sequence(),
									joined ? 3 : 0, joined ? List.of(new GrantedCeiling("w", ceiling)) : List.of()),
							this.nowMs);
				}
			}
			if (this.local.isReady(this.nowMs)) {
				return;
			}
		}
		throw new AssertionError("no grant within 2 s");
	}

	@Test
	public void workspaceWithoutLimitIsAlwaysAdmitted() {
		assertTrue(admits("other", Long.MAX_VALUE));
	}

	@Test
	public void admitsUpToTheCeilingAndAgainWhenUseLeavesTheWindow() {
		this.local.setGateways(GATEWAYS, this.nowMs);
		joinGroupOf("b", 9, 300);
		AllowanceCharge charge = charge(300);
		assertTrue(!admits("w", 1));
		this.local.markSent(charge, this.nowMs);
		long waitMs = retryAfterMs(1);
		assertTrue(waitMs > 7_900 && waitMs <= 8_100, "waits " + waitMs);
		this.nowMs += waitMs;
		joinGroupOf("b", 9, 300);
		assertTrue(admits("w", 1));
	}

	/** Guards against use that leaves the window while its requests wait to be sent. */
	@Test
	public void requestCountsUntilAWindowAfterItWasSent() {
		this.local.setGateways(GATEWAYS, this.nowMs);
		joinGroupOf("b", 9, 300);
		AllowanceCharge charge = charge(300);
		this.nowMs += 10_000;
		joinGroupOf("b", 9, 300);
		assertTrue(!admits("w", 1));
		this.local.markSent(charge, this.nowMs);
		this.nowMs += 5_000;
		this.local.markSent(charge, this.nowMs);
		this.nowMs += 5_000;
		joinGroupOf("b", 9, 300);
		assertTrue(!admits("w", 1), "sent again 5 s ago");
	}

	/** Guards against a cost that is returned twice. */
	@Test
	public void costIsReturnedOnce() {
		this.local.setGateways(GATEWAYS, this.nowMs);
		joinGroupOf("b", 9, 300);
		AllowanceCharge charge = charge(200);
		AllowanceCharge other = charge(100);
		this.local.giveBack(charge, this.nowMs);
		this.local.giveBack(charge, this.nowMs);
		this.local.markSent(charge, this.nowMs);
		assertTrue(admits("w", 200));
		assertTrue(!admits("w", 1));
		this.local.markSent(other, this.nowMs);
		this.local.giveBack(other, this.nowMs);
		assertTrue(admits("w", 100));
		assertTrue(!admits("w", 1));
	}

	@Test
	public void requestAboveTheWholeLimitIsRefusedForAWindow() {
		this.local.setGateways(GATEWAYS, this.nowMs);
		joinGroupOf("b", 9, 900);
		assertEquals(retryAfterMs(901), 8_000);
	}

	/**
	 * Guards against a gateway that uses its share while an allocator still grants it.
	 */
	@Test
	public void lostAllocatorLeavesTheLastCeilingThenTheEqualShare() {
		this.local.setGateways(GATEWAYS, this.nowMs);
		joinGroupOf("b", 9, 20);
		this.nowMs += 5_000;
		this.local.setGateways(GATEWAYS, this.nowMs);
		this.local.dueReports(this.nowMs);
		assertEquals(this.local.ceiling("w", this.nowMs).orElseThrow(), 20);
		this.nowMs += 9_000;
		this.local.setGateways(GATEWAYS, this.nowMs);
		assertEquals(this.local.ceiling("w", this.nowMs).orElseThrow(), 300);
	}

	/** Guards against a share that is used while others take the entry for deleted. */
	@Test
	public void shareLapsesWithoutListAndWithoutOtherGateways() {
		this.local.setGateways(GATEWAYS, this.nowMs);
		this.nowMs += 16_000;
		assertEquals(this.local.ceiling("w", this.nowMs).orElseThrow(), 300);
		this.nowMs += 5_000;
		assertEquals(this.local.ceiling("w", this.nowMs).orElseThrow(), 0);
	}

	@Test
	public void gatewayThatJoinsHasNoShareOfItsOwnAtFirst() {
		this.local.setGateways(GATEWAYS, this.nowMs);
		assertEquals(this.local.ceiling("w", this.nowMs).orElseThrow(), 0);
	}

	/** Guards against a late or repeated grant that raises a ceiling again. */
	@Test
	public void olderGrantIsIgnored() {
		this.local.setGateways(GATEWAYS, this.nowMs);
		joinGroupOf("b", 9, 20);
		long sequence = 0;
		for (int step = 0; step < 20; step++) {
			this.nowMs += 20;
			sequence = this.local.dueReports(this.nowMs)
				.stream()
				.filter((outgoing) -> outgoing.gateway().equals("b"))
				.mapToLong((outgoing) -> outgoing.report().sequence())
				.max()
				.orElse(sequence);
		}
		assertTrue(sequence > 0);
		this.local.receive("b", grant(9, 500_000, sequence, 20), this.nowMs);
		this.local.receive("b", grant(9, 499_999, sequence, 800), this.nowMs);
		this.local.receive("b", grant(9, 500_000, sequence, 800), this.nowMs);
		this.local.receive("c", grant(9, 600_000, sequence, 800), this.nowMs);
		assertEquals(this.local.ceiling("w", this.nowMs).orElseThrow(), 20);
		this.local.receive("b", grant(9, 500_001, sequence, 30), this.nowMs);
		assertEquals(this.local.ceiling("w", this.nowMs).orElseThrow(), 30);
	}

	private static AllowanceGrant grant(long run, long number, long sequence, long ceiling) {
		return new AllowanceGrant(run, number, 7, sequence, 3, List.of(new GrantedCeiling("w", ceiling)));
	}

	@Test
	public void overdraftCoversTheFirstRequestsWithoutAGrant() {
		this.local = new LocalAllowance(new AllowanceTerms(8_000, 0.1, 30), "a", 7);
		this.local.setLimits(Map.of("w", LIMIT), this.nowMs);
		this.local.setGateways(GATEWAYS, this.nowMs);
		// Half of a third of 90 + 30.
		assertTrue(admits("w", 20));
		assertTrue(!admits("w", 1));
	}

}
