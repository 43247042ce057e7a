package io.anvilusher.logic.lease;

import java.util.Optional;
import java.util.stream.LongStream;

import org.testng.annotations.Test;

import io.anvilusher.logic.fold.InMemoryLog;
import io.anvilusher.proofs.Fault;
import io.anvilusher.proofs.Promise;
import io.anvilusher.proofs.Proves;
import io.anvilusher.proofs.Step;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class LeaseAgentTests {

	private static final LeaseTiming TIMING = new LeaseTiming(6000, 2000, 1000, 0.01);

	private static final int SCHEDULES = 100_000;

	private static final long SCHEDULE_MS = 60_000;

	@Test
	@Proves(promise = Promise.ONE_ORDERING_PROCESS, fault = Fault.PAUSE, step = Step.LEASE_RENEWAL)
	@Proves(promise = Promise.ONE_ORDERING_PROCESS, fault = Fault.PARTITION, step = Step.LEASE_RENEWAL)
	@Proves(promise = Promise.ONE_ORDERING_PROCESS, fault = Fault.KILL, step = Step.LEASE_RENEWAL)
	@Proves(promise = Promise.ONE_ORDERING_PROCESS, fault = Fault.LOG_OUTAGE, step = Step.LEASE_RENEWAL)
	@Proves(promise = Promise.ONE_ORDERING_PROCESS, fault = Fault.LOST_ANSWER, step = Step.LEASE_CLAIM)
	@Proves(promise = Promise.ONE_ORDERING_PROCESS, fault = Fault.LATE_MESSAGE, step = Step.LEASE_CLAIM)
	@Proves(promise = Promise.ONE_ORDERING_PROCESS, fault = Fault.LATE_MESSAGE, step = Step.LEASE_RENEWAL)
	@Proves(promise = Promise.ONE_REPORT_PER_WINDOW, fault = Fault.PAUSE, step = Step.LEASE_CLAIM)
	@Proves(promise = Promise.ONE_REPORT_PER_WINDOW, fault = Fault.PARTITION, step = Step.LEASE_CLAIM)
	@Proves(promise = Promise.ONE_REPORT_PER_WINDOW, fault = Fault.LATE_MESSAGE, step = Step.LEASE_CLAIM)
	@Proves(promise = Promise.NO_EFFECT_WITHOUT_AUTHORITY, fault = Fault.PAUSE, step = Step.LEASE_RENEWAL)
	@Proves(promise = Promise.NO_EFFECT_WITHOUT_AUTHORITY, fault = Fault.PARTITION, step = Step.LEASE_RENEWAL)
	public void neverTwoHoldersInSeededSchedules() {
		long[] outcome = LongStream.range(0, SCHEDULES)
			.parallel()
			.mapToObj((seed) -> new LeaseSchedule(seed, TIMING, true).run(SCHEDULE_MS))
			.map((schedule) -> new long[] { schedule.stepsWithTwoHolders(), schedule.holderChanges() })
			.reduce(new long[2], (left, right) -> new long[] { left[0] + right[0], left[1] + right[1] });
		assertEquals(outcome[0], 0);
		// The check above proves something only if the lease changes its holder often.
		assertTrue(outcome[1] > 2 * SCHEDULES, "holder changes: " + outcome[1]);
	}

	@Test
	public void schedulesFindTwoHoldersWhenTheFoldDoesNotCheckWhatAClaimIsBasedOn() {
		long stepsWithTwoHolders = LongStream.range(0, 2000)
			.parallel()
			.map((seed) -> new LeaseSchedule(seed, TIMING, false).run(SCHEDULE_MS).stepsWithTwoHolders())
			.sum();
		assertTrue(stepsWithTwoHolders > 0);
	}

	@Test
	public void freeLeaseIsClaimedAtOnce() {
		InMemoryLog log = new InMemoryLog();
		LeaseAgent agent = agent("a", 0);
		log.append("r1", agent.next(0).orElseThrow().fact());
		assertEquals(log.state().leases().find(LeaseSchedule.LEASE).orElseThrow().holder(), "a");
	}

	@Test
	public void claimIsValidOnlyOnceItWasReadBack() {
		InMemoryLog log = new InMemoryLog();
		LeaseAgent agent = agent("a", 0);
		LeaseAction claim = agent.next(0).orElseThrow();
		assertFalse(agent.term(1).isPresent());
		log.append(claim.recordId(), claim.fact());
		agent.onState(10, log.state().leases());
		assertTrue(agent.term(11).isPresent());
	}

	@Test
	public void validityCountsFromBeforeTheRecordWasSent() {
		InMemoryLog log = new InMemoryLog();
		LeaseAgent agent = agent("a", 0);
		LeaseAction claim = agent.next(0).orElseThrow();
		log.append(claim.recordId(), claim.fact());
		agent.onState(5000, log.state().leases());
		assertTrue(agent.term(TIMING.holderValidityMs() - 1).isPresent());
		assertFalse(agent.term(TIMING.holderValidityMs()).isPresent());
	}

	@Test
	@Proves(promise = Promise.ONE_ORDERING_PROCESS, fault = Fault.PAUSE, step = Step.SCALE_CALL)
	@Proves(promise = Promise.ONE_REPORT_PER_WINDOW, fault = Fault.PAUSE, step = Step.USAGE_REPORT)
	public void newHolderWaitsBeforeItCallsReceiversThatDoNotFence() {
		InMemoryLog log = new InMemoryLog();
		LeaseAgent agent = agent("a", 0);
		LeaseAction claim = agent.next(0).orElseThrow();
		log.append(claim.recordId(), claim.fact());
		agent.onState(100, log.state().leases());
		assertTrue(agent.term(101).isPresent());
		assertFalse(agent.unfencedTerm(100 + TIMING.marginMs() - 1).isPresent());
		assertTrue(agent.unfencedTerm(100 + TIMING.marginMs()).isPresent());
	}

	@Test
	@Proves(promise = Promise.GRACEFUL_SHUTDOWN, fault = Fault.PLANNED_STOP, step = Step.LEASE_RENEWAL)
	public void releasedLeaseIsClaimedWithoutWaiting() {
		InMemoryLog log = new InMemoryLog();
		LeaseAgent first = agent("a", 0);
		LeaseAction claim = first.next(0).orElseThrow();
		log.append(claim.recordId(), claim.fact());
		first.onState(1, log.state().leases());
		LeaseAction release = first.release().orElseThrow();
		assertFalse(first.term(2).isPresent());
		log.append(release.recordId(), release.fact());
		LeaseAgent second = agent("b", 0);
		second.onState(3, log.state().leases());
		assertTrue(second.next(4).isPresent());
	}

	@Test
	public void newHolderHasATermWithinTheLeaseDurationPlusThreeSeconds() {
		InMemoryLog log = new InMemoryLog();
		LeaseAgent first = agent("a", 0);
		LeaseAction claim = first.next(0).orElseThrow();
		log.append(claim.recordId(), claim.fact());
		LeaseAgent second = agent("b", 0);
		long termHeldAtMs = -1;
		for (long nowMs = 1; nowMs < 60_000 && termHeldAtMs < 0; nowMs += 50) {
			second.onState(nowMs, log.state().leases());
			Optional<LeaseAction> action = second.next(nowMs);
			action.ifPresent((next) -> log.append(next.recordId(), next.fact()));
			second.onState(nowMs, log.state().leases());
			termHeldAtMs = second.term(nowMs).isPresent() ? nowMs : -1;
		}
		assertTrue(termHeldAtMs > 0 && termHeldAtMs <= TIMING.durationMs() + 3000, "after " + termHeldAtMs + " ms");
	}

	private static LeaseAgent agent(String name, long nowMs) {
		int[] records = new int[1];
		return new LeaseAgent(LeaseSchedule.LEASE, name, TIMING, () -> name + "/" + records[0]++, nowMs);
	}

}
