package io.anvilusher.logic.allowance;

import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import io.anvilusher.model.routing.AllowanceUnit;
import io.anvilusher.model.routing.WorkspaceLimit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class AllowanceAllocatorTests {

	private static final AllowanceTerms TERMS = new AllowanceTerms(8_000, 0, 0);

	/** 9,000 in each window. */
	private static final WorkspaceLimit LIMIT = new WorkspaceLimit(1_000, 1_000, AllowanceUnit.TOKENS, 0);

	private static final List<String> GATEWAYS = List.of("a", "b", "c", "d");

	private AllowanceAllocator allocator;

	private long nowMs;

	private long sequence;

	@BeforeMethod
	public void createAllocator() {
		this.nowMs = 1_000;
		this.sequence = 0;
		this.allocator = new AllowanceAllocator(TERMS, 5);
		this.allocator.setLimits(Map.of("w", LIMIT));
		this.allocator.setGateways(GATEWAYS.stream().collect(Collectors.toMap(Function.identity(), (name) -> 1.0)),
				this.nowMs);
	}

	private List<OutgoingGrant> report(String gateway, long echo, long freeInMs, ReportedUse... uses) {
		this.sequence++;
		return this.allocator.receive(gateway,
				new AllowanceReport(3, this.sequence, (echo > 0) ? 5 : 0, echo, freeInMs, List.of(uses)), this.nowMs);
	}

	private AllowanceGrant join(String gateway, long freeInMs, ReportedUse... uses) {
		AllowanceGrant empty = report(gateway, 0, freeInMs).get(0).grant();
		assertTrue(empty.ceilings().isEmpty());
		return report(gateway, empty.number(), freeInMs, uses).get(0).grant();
	}

	private static long ceiling(AllowanceGrant grant) {
		return grant.ceilings().get(0).ceiling();
	}

	private static ReportedUse use(long used, long demand, long ceiling) {
		return new ReportedUse("w", used, demand, ceiling);
	}

	@Test
	public void ceilingsOfAllMembersTogetherStayWithinTheLimit() {
		long total = GATEWAYS.stream().mapToLong((gateway) -> ceiling(join(gateway, 0, use(0, 5_000, 0)))).sum();
		assertTrue(total > 0 && total <= 9_000, "total " + total);
	}

	@Test
	public void membersGetOnlyTheSharesOfThoseThatReport() {
		long total = IntStream.range(0, 2)
			.mapToLong((index) -> ceiling(join(GATEWAYS.get(index), 0, use(0, 5_000, 0))))
			.sum();
		assertTrue(total > 0 && total <= 4_500, "total " + total);
	}

	/** Guards against a share that two allocators divide at the same time. */
	@Test
	public void shareThatAFormerAllocatorMayCountIsNotDivided() {
		assertEquals(ceiling(join("a", 10_000, use(0, 5_000, 0))), 0);
		assertTrue(ceiling(join("b", 10_000, use(100, 5_000, 400))) <= 400);
	}

	/** Guards against use of a silent gateway that is granted to others as well. */
	@Test
	public void useOfASilentGatewayCountsForAWindow() {
		GATEWAYS.forEach((gateway) -> join(gateway, 0));
		join("a", 0, use(8_000, 100, 8_000));
		this.nowMs += 2_000;
		long total = GATEWAYS.stream()
			.skip(1)
			.mapToLong((gateway) -> ceiling(join(gateway, 0, use(0, 5_000, 0))))
			.sum();
		assertTrue(total <= 1_000, "total " + total);
		this.nowMs += 12_000;
		total = GATEWAYS.stream().skip(1).mapToLong((gateway) -> ceiling(join(gateway, 0, use(0, 5_000, 0)))).sum();
		assertTrue(total > 3_000 && total <= 6_750, "total " + total);
	}

	/** Guards against a report that arrives late and proves nothing about the present. */
	@Test
	public void lateEchoDoesNotMakeAMember() {
		AllowanceGrant empty = report("a", 0, 0).get(0).grant();
		this.nowMs += 3_000;
		AllowanceGrant late = report("a", empty.number(), 0, use(0, 5_000, 0)).get(0).grant();
		assertTrue(late.ceilings().isEmpty());
	}

	@Test
	public void olderReportIsIgnored() {
		AllowanceGrant grant = join("a", 0, use(500, 100, 0));
		assertTrue(this.allocator.receive("a", new AllowanceReport(3, 1, 5, grant.number(), 0, List.of()), this.nowMs)
			.isEmpty());
	}

	/** Guards against a gateway that keeps unused room while another is short of it. */
	@Test
	public void unusedCeilingIsTakenBackForAMemberThatIsShort() {
		Map<String, AllowanceGrant> grants = GATEWAYS.stream()
			.collect(Collectors.toMap(Function.identity(), (gateway) -> join(gateway, 0, use(0, 500, 0))));
		this.nowMs += 50;
		List<OutgoingGrant> changes = report("a", grants.get("a").number(), 0,
				use(ceiling(grants.get("a")), 900_000, ceiling(grants.get("a"))));
		assertTrue(changes.size() > 1, changes.toString());
		assertTrue(
				changes.stream()
					.skip(1)
					.allMatch((change) -> ceiling(change.grant()) < ceiling(grants.get(change.gateway()))),
				changes.toString());
	}

	@Test
	public void onlyAMajorityCallsAGatewayLost() {
		join("a", 0);
		this.nowMs += 31_000;
		join("a", 0);
		assertEquals(this.allocator.lostGateways(this.nowMs), List.of());
		join("b", 0);
		join("c", 0);
		assertEquals(this.allocator.lostGateways(this.nowMs), List.of("d"));
	}

}
