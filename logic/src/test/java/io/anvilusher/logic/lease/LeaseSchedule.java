package io.anvilusher.logic.lease;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

import io.anvilusher.logic.fold.FoldTesting;
import io.anvilusher.logic.fold.LeaseState;
import io.anvilusher.model.fact.Fact;
import io.anvilusher.model.fact.LeaseClaimed;
import io.anvilusher.model.lease.Lease;

/**
 * One seeded run of three candidates for a lease against a log that delays, loses and
 * doubles appends, with clocks that drift, candidates that are paused and cut off, and
 * outages of the log.
 */
final class LeaseSchedule {

	static final String LEASE = "region/r";

	private static final long STEP_MS = 50;

	private static final int CANDIDATES = 3;

	private final SplittableRandom random;

	private final LeaseTiming timing;

	private final boolean foldChecksBase;

	private final FoldTesting log = new FoldTesting();

	private final List<Candidate> candidates = new ArrayList<>();

	private final PriorityQueue<InFlight> inFlight = new PriorityQueue<>(Comparator.comparingLong(InFlight::landsAtMs));

	private long nowMs;

	private long logDownUntilMs;

	private int doubleHolders;

	private int takeOvers;

	private long lastHolderTerm;

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
			land();
			this.candidates.forEach(Candidate::step);
			check();
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
				candidate.appendsCutUntilMs = this.nowMs + this.random.nextLong(2 * this.timing.durationMs());
			}
			if (this.random.nextInt(200) == 0) {
				candidate.readsCutUntilMs = this.nowMs + this.random.nextLong(2 * this.timing.durationMs());
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
		this.inFlight.add(new InFlight(this.nowMs + delayMs, action));
		if (kind == 2) {
			this.inFlight.add(new InFlight(this.nowMs + this.random.nextLong(2 * this.timing.durationMs()), action));
		}
	}

	private void land() {
		while (!this.inFlight.isEmpty() && this.inFlight.peek().landsAtMs() <= this.nowMs) {
			InFlight next = this.inFlight.poll();
			if (this.nowMs < this.logDownUntilMs) {
				continue;
			}
			this.log.append(next.action().recordId(), rebased(next.action().fact()));
		}
	}

	private Fact rebased(Fact fact) {
		if (this.foldChecksBase || !(fact instanceof LeaseClaimed claim)) {
			return fact;
		}
		long base = this.log.state().leases().find(LEASE).map(Lease::lastOffset).orElse(0L);
		return new LeaseClaimed(claim.lease(), claim.holder(), base, claim.durationMs());
	}

	private void check() {
		long holders = this.candidates.stream().filter(Candidate::acts).count();
		if (holders > 1) {
			this.doubleHolders++;
		}
		Optional<Candidate> holder = this.candidates.stream().filter(Candidate::acts).findFirst();
		holder.ifPresent((candidate) -> {
			long term = candidate.agent.term(candidate.localMs()).orElseThrow();
			if (term != this.lastHolderTerm) {
				this.lastHolderTerm = term;
				this.takeOvers++;
			}
		});
	}

	int doubleHolders() {
		return this.doubleHolders;
	}

	int takeOvers() {
		return this.takeOvers;
	}

	private record InFlight(long landsAtMs, LeaseAction action) {

	}

	private final class Candidate {

		private final String name;

		private final double clockRate;

		private LeaseAgent agent;

		private int incarnation;

		private int records;

		private long pausedUntilMs;

		private long appendsCutUntilMs;

		private long readsCutUntilMs;

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

		// A paused candidate may go on acting on an answer that it got before its pause.
		boolean acts() {
			return this.agent.term(localMs()).isPresent();
		}

		void step() {
			if (LeaseSchedule.this.nowMs < this.pausedUntilMs) {
				return;
			}
			boolean reads = LeaseSchedule.this.nowMs >= this.readsCutUntilMs
					&& LeaseSchedule.this.nowMs >= LeaseSchedule.this.logDownUntilMs;
			if (reads) {
				LeaseState leases = LeaseSchedule.this.log.state().leases();
				this.agent.onState(localMs(), leases);
			}
			Optional<LeaseAction> action = this.agent.next(localMs());
			if (action.isPresent() && LeaseSchedule.this.nowMs >= this.appendsCutUntilMs) {
				send(action.get());
			}
		}

	}

}
