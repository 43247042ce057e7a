package io.anvilusher.logic.allowance;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import io.anvilusher.model.routing.WorkspaceLimit;

/**
 * This gateway's side of the workspace allowances: admits requests within the ceilings
 * that the allocator granted, and determines what to report to which allocator. Confined
 * to one thread.
 */
public final class LocalAllowance {

	/** Longest time between two reports, in ms. */
	public static final long REPORT_INTERVAL_MS = 250;

	/** Shortest time between two reports, in ms. */
	public static final long URGENT_INTERVAL_MS = 20;

	/** Validity of a grant from the time of the report that it answers, in ms. */
	public static final long GRANT_MS = 1_200;

	/** Time over which demand is measured, in ms. */
	public static final long DEMAND_WINDOW_MS = 250;

	/** Time for which an allocator counts the share of a gateway after its last echo. */
	static final long MEMBER_MS = 1_000;

	/** An allocator checks only at intervals whether a gateway is still a member. */
	private static final long MEMBER_MARGIN_MS = 100;

	/**
	 * Time after which all gateways have read that a gateway joined. Before, the others
	 * may still divide the limits among themselves.
	 */
	static final long JOIN_MS = 15_000;

	/**
	 * Time without contact to the list of gateways or to most gateways after which this
	 * gateway's entry may be deleted soon, and its share be given to others.
	 */
	static final long LAPSE_MS = 20_000;

	/**
	 * Part of the overdraft that gateways use. The rest is a margin for requests that
	 * arrive at servers later than they were sent.
	 */
	private static final double USED_OVERDRAFT = 0.5;

	/** Number of gateways that is assumed while the list of gateways is not known. */
	static final int ASSUMED_GATEWAYS = 100;

	/**
	 * Part of a limit by which a ceiling is lowered at least for an immediate report. The
	 * allocator gives what it took away to others only after the report.
	 */
	private static final double ECHOED_PART = 0.01;

	/** Retry-After while the room depends on the use of other gateways. */
	private static final long DEFAULT_RETRY_MS = 1_000;

	private final AllowanceTerms terms;

	private final String self;

	private final long run;

	private final AllocatorChoice choice = new AllocatorChoice();

	private final Map<String, WorkspaceUse> uses = new HashMap<>();

	/** Reports whose grants may still be valid, oldest first. */
	private final Deque<SentReport> sentReports = new ArrayDeque<>();

	private Map<String, WorkspaceLimit> limits = Map.of();

	private GatewayRanking ranking = GatewayRanking.EMPTY;

	private long registeredSinceMs = Long.MAX_VALUE;

	private long listReadMs;

	private long majorityMs;

	private long sequence;

	private long lastReportMs;

	private boolean reportNow;

	private long answeredMs = Long.MIN_VALUE;

	private Optional<Allocator> allocator = Optional.empty();

	/** Time until which a former allocator may count this gateway's share. */
	private long formerFreeMs = Long.MIN_VALUE;

	/** The same for the present allocator, in case that it is lost. */
	private long delegatedUntilMs = Long.MIN_VALUE;

	private long ceilingsUntilMs = Long.MIN_VALUE;

	/** Whether the present allocator has granted ceilings. */
	private boolean inGroup;

	/**
	 * Creates the local side.
	 * @param terms the terms of all limits
	 * @param self name of this gateway
	 * @param run identifies this run of the process; positive and different in each run
	 */
	public LocalAllowance(AllowanceTerms terms, String self, long run) {
		this.terms = terms;
		this.self = self;
		this.run = run;
	}

	/**
	 * Sets the limits. Use that was counted before is kept.
	 * @param limits the limits by workspace
	 * @param nowMs current time of the monotonic clock
	 */
	public void setLimits(Map<String, WorkspaceLimit> limits, long nowMs) {
		this.limits = Map.copyOf(limits);
		limits.keySet()
			.forEach((workspace) -> this.uses.computeIfAbsent(workspace,
					(name) -> new WorkspaceUse(this.terms.windowMs())));
		this.uses.entrySet().removeIf((use) -> !limits.containsKey(use.getKey()) && use.getValue().counted(nowMs) <= 0);
		this.reportNow = true;
	}

	/**
	 * Sets the registered gateways. Called after each successful read of the list, also
	 * if it did not change.
	 * @param capacities the capacities by name of the gateway
	 * @param nowMs current time of the monotonic clock
	 */
	public void setGateways(Map<String, Double> capacities, long nowMs) {
		boolean wasIncluded = this.ranking.includesSelf();
		this.ranking = GatewayRanking.of(capacities, this.self);
		this.listReadMs = nowMs;
		if (this.ranking.includesSelf() && !wasIncluded) {
			this.registeredSinceMs = nowMs;
		}
		this.choice.setRanking(this.ranking, nowMs);
	}

	/**
	 * Decides whether a request is within the allowance and counts its cost if so. A
	 * workspace without limit is always admitted.
	 * @param workspace name of the workspace
	 * @param cost cost of the request, in the unit of the limit; not negative
	 * @param nowMs current time of the monotonic clock
	 * @return the decision
	 */
	public AllowanceDecision admit(String workspace, long cost, long nowMs) {
		WorkspaceLimit limit = this.limits.get(workspace);
		WorkspaceUse use = this.uses.get(workspace);
		if (limit == null || use == null) {
			return new AllowanceDecision.Admitted(
					new AllowanceCharge(workspace, cost, AllowanceCharge.State.UNLIMITED));
		}
		long line = line(limit, use, nowMs);
		if (use.tryAdd(cost, line, overdraft(limit), nowMs)) {
			return new AllowanceDecision.Admitted(new AllowanceCharge(workspace, cost, AllowanceCharge.State.PENDING));
		}
		if (cost > this.terms.capacity(limit)) {
			return new AllowanceDecision.Refused(this.terms.windowMs());
		}
		long roomMs = use.timeToRoomMs(cost, line, nowMs);
		return new AllowanceDecision.Refused((roomMs > 0) ? roomMs : DEFAULT_RETRY_MS);
	}

	/**
	 * Records that a request is being sent to a server; its cost counts for one window
	 * from now on. Called again for each further attempt.
	 * @param charge the charge of the request
	 * @param nowMs current time of the monotonic clock
	 */
	public void markSent(AllowanceCharge charge, long nowMs) {
		WorkspaceUse use = this.uses.get(charge.workspace());
		boolean counted = charge.state() == AllowanceCharge.State.PENDING
				|| charge.state() == AllowanceCharge.State.SENT;
		if (use != null && counted) {
			use.moveToSent(charge, nowMs);
			charge.moveTo(AllowanceCharge.State.SENT, nowMs);
		}
	}

	/**
	 * Returns the cost of a request that was not sent, or that no server ran. Has no
	 * effect if it was returned before.
	 * @param charge the charge of the request
	 * @param nowMs current time of the monotonic clock
	 */
	public void giveBack(AllowanceCharge charge, long nowMs) {
		WorkspaceUse use = this.uses.get(charge.workspace());
		if (use != null) {
			use.takeOut(charge, nowMs);
		}
		charge.moveTo(AllowanceCharge.State.RETURNED, nowMs);
	}

	/**
	 * Takes in a grant.
	 * @param gateway name of the gateway that sent it
	 * @param grant the grant
	 * @param nowMs current time of the monotonic clock
	 */
	public void receive(String gateway, AllowanceGrant grant, long nowMs) {
		Optional<SentReport> answered = this.sentReports.stream()
			.filter((report) -> grant.gatewayRun() == this.run && report.sequence() == grant.answeredSequence()
					&& nowMs < report.sentMs() + GRANT_MS)
			.findFirst();
		if (answered.isEmpty()) {
			return;
		}
		this.choice.onAnswer(gateway, grant.members(), nowMs);
		followChoice();
		if (!this.choice.current().equals(Optional.of(gateway))) {
			return;
		}
		Allocator known = this.allocator.filter((present) -> present.run() == grant.run())
			.orElseGet(() -> startWith(gateway, grant.run()));
		if (grant.number() <= known.newestGrant()) {
			return;
		}
		if (known.newestGrant() == 0) {
			this.reportNow = true;
		}
		this.allocator = Optional.of(known.withNewestGrant(grant.number()));
		if (2 * grant.members() > this.ranking.registered()) {
			this.majorityMs = nowMs;
		}
		if (!grant.ceilings().isEmpty()) {
			takeCeilings(grant, answered.get(), nowMs);
		}
	}

	private void takeCeilings(AllowanceGrant grant, SentReport answered, long nowMs) {
		this.inGroup = true;
		this.answeredMs = nowMs;
		this.delegatedUntilMs = nowMs + MEMBER_MS + MEMBER_MARGIN_MS + GRANT_MS + this.terms.windowMs();
		this.ceilingsUntilMs = answered.sentMs() + GRANT_MS;
		for (GrantedCeiling granted : grant.ceilings()) {
			WorkspaceUse use = this.uses.get(granted.workspace());
			WorkspaceLimit limit = this.limits.get(granted.workspace());
			if (use != null && limit != null) {
				this.reportNow |= use.ceiling() - granted.ceiling() > ECHOED_PART * this.terms.capacity(limit);
				use.grant(granted.ceiling(), nowMs);
			}
		}
		// An unasked grant takes something away for a gateway that is short of it.
		if (answered.answered()) {
			this.reportNow = true;
		}
		answered.markAnswered();
	}

	/**
	 * Returns the use that may count now for a workspace without overdraft.
	 * @param workspace name of the workspace
	 * @param nowMs current time of the monotonic clock
	 * @return the use in the unit of the limit; empty if the workspace has no limit
	 */
	public OptionalLong ceiling(String workspace, long nowMs) {
		WorkspaceLimit limit = this.limits.get(workspace);
		WorkspaceUse use = this.uses.get(workspace);
		return (limit != null && use != null) ? OptionalLong.of(line(limit, use, nowMs)) : OptionalLong.empty();
	}

	/**
	 * Returns the time since the last answer of an allocator.
	 * @param nowMs current time of the monotonic clock
	 * @return the time in ms; empty before the first answer
	 */
	public OptionalLong answerAgeMs(long nowMs) {
		return (this.answeredMs != Long.MIN_VALUE) ? OptionalLong.of(nowMs - this.answeredMs) : OptionalLong.empty();
	}

	/**
	 * Returns whether requests are admitted within granted ceilings. A gateway that joins
	 * should get no traffic before.
	 * @param nowMs current time of the monotonic clock
	 * @return whether no workspace has a limit, or a grant is valid
	 */
	public boolean isReady(long nowMs) {
		return this.limits.isEmpty() || nowMs < this.ceilingsUntilMs;
	}

	/**
	 * Returns the reports that are due. Called after requests were admitted or a grant
	 * was received, and at least every {@link #URGENT_INTERVAL_MS}; cheap if nothing is
	 * due.
	 * @param nowMs current time of the monotonic clock
	 * @return the reports to be sent now
	 */
	public List<OutgoingReport> dueReports(long nowMs) {
		if (this.limits.isEmpty()) {
			return List.of();
		}
		while (!this.sentReports.isEmpty() && this.sentReports.getFirst().sentMs() + GRANT_MS <= nowMs) {
			this.sentReports.removeFirst();
		}
		List<OutgoingReport> due = new ArrayList<>(this.choice.dueProbes(nowMs)
			.stream()
			.map((candidate) -> new OutgoingReport(candidate, report(0, 0, List.of(), nowMs)))
			.toList());
		followChoice();
		this.choice.current().filter((gateway) -> isReportDue(nowMs)).ifPresent((gateway) -> {
			this.lastReportMs = nowMs;
			this.reportNow = false;
			due.add(new OutgoingReport(gateway, report(this.allocator.map(Allocator::run).orElse(0L),
					this.allocator.map(Allocator::newestGrant).orElse(0L), usesToReport(nowMs), nowMs)));
		});
		return due;
	}

	private AllowanceReport report(long echoRun, long echoNumber, List<ReportedUse> reported, long nowMs) {
		this.sequence++;
		this.sentReports.addLast(new SentReport(this.sequence, nowMs));
		return new AllowanceReport(this.run, this.sequence, echoRun, echoNumber, Math.max(0, this.formerFreeMs - nowMs),
				reported);
	}

	private boolean isReportDue(long nowMs) {
		long sinceLastMs = nowMs - this.lastReportMs;
		return sinceLastMs >= REPORT_INTERVAL_MS
				|| (sinceLastMs >= URGENT_INTERVAL_MS && (this.reportNow || isAnyUseUrgent(nowMs)));
	}

	private boolean isAnyUseUrgent(long nowMs) {
		return this.limits.entrySet().stream().anyMatch((limit) -> {
			WorkspaceUse use = this.uses.get(limit.getKey());
			return use != null && use.isUrgent(line(limit.getValue(), use, nowMs), nowMs);
		});
	}

	private List<ReportedUse> usesToReport(long nowMs) {
		boolean bringsCeilings = nowMs < this.formerFreeMs && !this.inGroup;
		return this.limits.entrySet().stream().flatMap((limit) -> {
			WorkspaceUse use = this.uses.get(limit.getKey());
			return Optional.ofNullable(use)
				.map((known) -> known.report(limit.getKey(),
						Math.max(line(limit.getValue(), known, nowMs), bringsCeilings ? known.ceiling() : 0), nowMs))
				.filter((reported) -> reported.use() > 0 || reported.demand() > 0
						|| (bringsCeilings && reported.ceiling() > 0))
				.stream();
		}).toList();
	}

	/**
	 * Stops using an allocator that is no longer chosen. The ceilings that it granted
	 * stay valid until they expire.
	 */
	private void followChoice() {
		if (this.allocator.isPresent() && !this.choice.current().equals(this.allocator.map(Allocator::gateway))) {
			endAllocator();
		}
	}

	private Allocator startWith(String gateway, long allocatorRun) {
		endAllocator();
		return new Allocator(gateway, allocatorRun, 0);
	}

	private void endAllocator() {
		this.formerFreeMs = Math.max(this.formerFreeMs, this.delegatedUntilMs);
		this.allocator = Optional.empty();
		this.inGroup = false;
		this.reportNow = true;
	}

	// Without a valid grant, a gateway uses no more than its last ceiling until no
	// allocator counts its share any more.
	private long line(WorkspaceLimit limit, WorkspaceUse use, long nowMs) {
		if (nowMs < this.ceilingsUntilMs) {
			return use.ceiling();
		}
		long share = ownShare(limit, nowMs);
		boolean delegated = nowMs < Math.max(this.formerFreeMs, this.delegatedUntilMs);
		return delegated ? Math.min(share, use.ceiling()) : share;
	}

	private long ownShare(WorkspaceLimit limit, long nowMs) {
		boolean joined = this.ranking.includesSelf()
				&& (this.delegatedUntilMs != Long.MIN_VALUE || nowMs - this.registeredSinceMs >= JOIN_MS);
		boolean lapsed = nowMs - Math.max(this.listReadMs, this.majorityMs) > LAPSE_MS;
		return (joined && !lapsed) ? this.terms.capacity(limit) / this.ranking.registered() : 0;
	}

	private long overdraft(WorkspaceLimit limit) {
		int gateways = (this.ranking.registered() > 0) ? this.ranking.registered() : ASSUMED_GATEWAYS;
		return (long) (USED_OVERDRAFT * this.terms.overdraft(limit) / gateways);
	}

	/**
	 * The allocator to which this gateway reports.
	 *
	 * @param gateway its name
	 * @param run run of its process
	 * @param newestGrant number of its newest grant; 0 if none
	 */
	private record Allocator(String gateway, long run, long newestGrant) {

		Allocator withNewestGrant(long number) {
			return new Allocator(this.gateway, this.run, number);
		}

	}

	/**
	 * A report that was sent.
	 */
	private static final class SentReport {

		private final long sequence;

		private final long sentMs;

		private boolean answered;

		SentReport(long sequence, long sentMs) {
			this.sequence = sequence;
			this.sentMs = sentMs;
		}

		long sequence() {
			return this.sequence;
		}

		long sentMs() {
			return this.sentMs;
		}

		boolean answered() {
			return this.answered;
		}

		void markAnswered() {
			this.answered = true;
		}

	}

}
