package io.anvilusher.logic.lease;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

import io.anvilusher.logic.fold.InMemoryLog;
import io.anvilusher.logic.fold.LeaseState;
import io.anvilusher.model.fact.Fact;
import io.anvilusher.model.fact.LeaseClaimed;
import io.anvilusher.model.lease.Lease;

/**
 * Simulates three candidates that compete for a lease, with random faults from a seed:
 * the log delays, loses and duplicates appends and has outages, the clocks of the
 * candidates drift, and candidates are paused, restarted and cut off from appending or
 * reading.
 */
final class LeaseSchedule {

	static final String LEASE = "region/r";

	private static final long STEP_MS = 50;

	private static final int CANDIDATES = 3;

	private final SplittableRandom random;

	private final LeaseTiming timing;

	private final boolean foldChecksBase;

	private final InMemoryLog log = new InMemoryLog();

	private final List<Candidate> candidates = new ArrayList<>();

	private final PriorityQueue<PendingAppend> pendingAppends = new PriorityQueue<>(
			Comparator.comparingLong(PendingAppend::arrivesAtMs));

	private long nowMs;

	private long logDownUntilMs;

	private int stepsWithTwoHolders;

	private int holderChanges;

	private long lastTermSeen;

	LeaseSchedule(long seed, LeaseTiming timing, boolean foldChecksBase) {
		this.random = new SplittableRandom(seed);
		this.timing = timing;
		this.foldChecksBase = foldChecksBase;
		for (int i = 0; i < CANDIDATES; i++) {
			this.candidates
				.add(new Candidate("c" + i, 1 + (this.random.nextDouble() - 0.5) * 2 * timing.maxDriftShare()));
		}
	}

	LeaseSchedule run(long durationMs) {
		while (this.nowMs < durationMs) {
			this.nowMs += STEP_MS;
			injectFaults();
			deliverDueAppends();
			this.candidates.forEach(Candidate::step);
			countHolders();
		}
		return this;
	}

	private void injectFaults() {
		if (this.random.nextInt(400) == 0) {
			this.logDownUntilMs = this.nowMs + this.random.nextLong(2 * this.timing.durationMs());
		}
		for (Candidate candidate : this.candidates) {
			if (this.random.nextInt(200) == 0) {
				candidate.pausedUntilMs = this.nowMs + this.random.nextLong(3 * this.timing.durationMs());
			}
			if (this.random.nextInt(200) == 0) {
				candidate.appendsBlockedUntilMs = this.nowMs + this.random.nextLong(2 * this.timing.durationMs());
			}
			if (this.random.nextInt(200) == 0) {
				candidate.readsBlockedUntilMs = this.nowMs + this.random.nextLong(2 * this.timing.durationMs());
			}
			if (this.random.nextInt(1500) == 0) {
				candidate.restart();
			}
		}
	}

	private void send(LeaseAction action) {
		int kind = this.random.nextInt(20);
		if (kind == 0) {
			return;
		}
		long delayMs = (kind == 1) ? this.random.nextLong(3 * this.timing.durationMs()) : this.random.nextLong(100);
		this.pendingAppends.add(new PendingAppend(this.nowMs + delayMs, action));
		if (kind == 2) {
			this.pendingAppends
				.add(new PendingAppend(this.nowMs + this.random.nextLong(2 * this.timing.durationMs()), action));
		}
	}

	private void deliverDueAppends() {
		while (!this.pendingAppends.isEmpty() && this.pendingAppends.peek().arrivesAtMs() <= this.nowMs) {
			PendingAppend next = this.pendingAppends.poll();
			if (this.nowMs < this.logDownUntilMs) {
				continue;
			}
			this.log.append(next.action().recordId(), withCurrentBase(next.action().fact()));
		}
	}

	private Fact withCurrentBase(Fact fact) {
		if (this.foldChecksBase || !(fact instanceof LeaseClaimed claim)) {
			return fact;
		}
		long base = this.log.state().leases().find(LEASE).map(Lease::lastOffset).orElse(0L);
		return new LeaseClaimed(claim.lease(), claim.holder(), base, claim.durationMs());
	}

	private void countHolders() {
		long holders = this.candidates.stream().filter(Candidate::holdsLease).count();
		if (holders > 1) {
			this.stepsWithTwoHolders++;
		}
		Optional<Candidate> holder = this.candidates.stream().filter(Candidate::holdsLease).findFirst();
		holder.ifPresent((candidate) -> {
			long term = candidate.agent.term(candidate.localMs()).orElseThrow();
			if (term != this.lastTermSeen) {
				this.lastTermSeen = term;
				this.holderChanges++;
			}
		});
	}

	int stepsWithTwoHolders() {
		return this.stepsWithTwoHolders;
	}

	int holderChanges() {
		return this.holderChanges;
	}

	private record PendingAppend(long arrivesAtMs, LeaseAction action) {

	}

	private final class Candidate {

		private final String name;

		private final double clockRate;

		private LeaseAgent agent;

		private int incarnation;

		private int records;

		private long pausedUntilMs;

		private long appendsBlockedUntilMs;

		private long readsBlockedUntilMs;

		Candidate(String name, double clockRate) {
			this.name = name;
			this.clockRate = clockRate;
			this.agent = newAgent();
		}

		private LeaseAgent newAgent() {
			String id = this.name + "." + this.incarnation++;
			return new LeaseAgent(LEASE, id, LeaseSchedule.this.timing, () -> id + "/" + this.records++, localMs());
		}

		long localMs() {
			return (long) (LeaseSchedule.this.nowMs * this.clockRate);
		}

		void restart() {
			this.agent = newAgent();
		}

		// Also counts a paused candidate: it may still act on a term that it checked
		// before its pause.
		boolean holdsLease() {
			return this.agent.term(localMs()).isPresent();
		}

		void step() {
			if (LeaseSchedule.this.nowMs < this.pausedUntilMs) {
				return;
			}
			boolean reads = LeaseSchedule.this.nowMs >= this.readsBlockedUntilMs
					&& LeaseSchedule.this.nowMs >= LeaseSchedule.this.logDownUntilMs;
			if (reads) {
				LeaseState leases = LeaseSchedule.this.log.state().leases();
				this.agent.onState(localMs(), leases);
			}
			Optional<LeaseAction> action = this.agent.next(localMs());
			if (action.isPresent() && LeaseSchedule.this.nowMs >= this.appendsBlockedUntilMs) {
				send(action.get());
			}
		}

	}

}
