package io.anvilusher.logic.allowance;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import io.anvilusher.model.routing.WorkspaceLimit;

/**
 * The allocator's side of the workspace allowances: divides the shares of the gateways
 * that report to this one among them. Each gateway has an allocator, which is idle while
 * no gateway reports to it. Confined to one thread.
 */
public final class AllowanceAllocator {

	/** Silence after which a gateway's entry may be deleted from the list. */
	private static final long LOST_MS = 30_000;

	/** Bounds the messages that one report causes in a large deployment. */
	private static final int MAX_TAKEN_BACK = 40;

	private final AllowanceTerms terms;

	private final long run;

	private final Map<String, GroupMember> members = new LinkedHashMap<>();

	/** Earlier runs of gateways, whose use may still be in the window. */
	private final List<GroupMember> formerRuns = new ArrayList<>();

	private final Map<String, Long> lastHeardMs = new HashMap<>();

	private final Map<String, Division> divisions = new HashMap<>();

	private Map<String, WorkspaceLimit> limits = Map.of();

	private Set<String> registered = Set.of();

	private int groupSize;

	private long dividedMs = Long.MIN_VALUE / 2;

	private long grantNumber;

	/**
	 * Creates an allocator.
	 * @param terms the terms of all limits
	 * @param run identifies this run of the process; positive and different in each run
	 */
	public AllowanceAllocator(AllowanceTerms terms, long run) {
		this.terms = terms;
		this.run = run;
	}

	/**
	 * Sets the limits.
	 * @param limits the limits by workspace
	 */
	public void setLimits(Map<String, WorkspaceLimit> limits) {
		this.limits = Map.copyOf(limits);
		this.dividedMs = Long.MIN_VALUE / 2;
	}

	/**
	 * Sets the registered gateways.
	 * @param capacities the capacities by name of the gateway
	 * @param nowMs current time of the monotonic clock
	 */
	public void setGateways(Map<String, Double> capacities, long nowMs) {
		this.registered = Set.copyOf(capacities.keySet());
		this.lastHeardMs.keySet().retainAll(this.registered);
		this.registered.forEach((gateway) -> this.lastHeardMs.putIfAbsent(gateway, nowMs));
		this.dividedMs = Long.MIN_VALUE / 2;
	}

	/**
	 * Takes in a report.
	 * @param gateway name of the gateway that sent it
	 * @param report the report
	 * @param nowMs current time of the monotonic clock
	 * @return the grants to be sent now: the answer, and changes for other gateways
	 */
	public List<OutgoingGrant> receive(String gateway, AllowanceReport report, long nowMs) {
		divideIfDue(nowMs);
		this.lastHeardMs.replace(gateway, nowMs);
		GroupMember member = memberFor(gateway, report.run());
		Map<String, Holding> before = isInGroup(member, nowMs) ? holdings(member, nowMs) : Map.of();
		if (!member.receive(report, this.run, nowMs)) {
			return List.of();
		}
		if (report.echoNumber() == 0 || !isInGroup(member, nowMs)) {
			return List.of(emptyGrant(member, nowMs));
		}
		if (before.isEmpty()) {
			divide(nowMs);
		}
		else {
			holdings(member, nowMs).forEach((workspace, holding) -> this.divisions.computeIfPresent(workspace,
					(name, division) -> division.replace(before.get(workspace), holding)));
		}
		List<OutgoingGrant> grants = new ArrayList<>();
		grants.add(grant(member, nowMs));
		if (member.isWaiting()) {
			grants.addAll(takeBackSurplus(member, nowMs));
		}
		grants.addAll(grantsToWaiting(nowMs));
		return grants;
	}

	private GroupMember memberFor(String gateway, long gatewayRun) {
		GroupMember known = this.members.get(gateway);
		if (known != null && known.run() == gatewayRun) {
			return known;
		}
		if (known != null) {
			this.formerRuns.add(known);
			this.dividedMs = Long.MIN_VALUE / 2;
		}
		GroupMember started = new GroupMember(gateway, gatewayRun);
		this.members.put(gateway, started);
		return started;
	}

	private boolean isInGroup(GroupMember member, long nowMs) {
		return this.registered.contains(member.gateway()) && member.isMember(nowMs);
	}

	private Map<String, Holding> holdings(GroupMember member, long nowMs) {
		return this.limits.keySet()
			.stream()
			.collect(Collectors.toMap((workspace) -> workspace, (workspace) -> member.holding(workspace, nowMs)));
	}

	private OutgoingGrant emptyGrant(GroupMember member, long nowMs) {
		return send(member, Map.of(), nowMs);
	}

	private OutgoingGrant grant(GroupMember member, long nowMs) {
		Map<String, Holding> before = holdings(member, nowMs);
		Map<String, Long> ceilings = before.entrySet()
			.stream()
			.collect(Collectors.toMap(Map.Entry::getKey,
					(holding) -> this.divisions.get(holding.getKey()).ceiling(holding.getValue())));
		member.setWaiting(before.entrySet()
			.stream()
			.anyMatch((holding) -> this.divisions.get(holding.getKey()).isShort(holding.getValue())));
		OutgoingGrant outgoing = send(member, ceilings, nowMs);
		holdings(member, nowMs).forEach((workspace, holding) -> this.divisions.computeIfPresent(workspace,
				(name, division) -> division.replace(before.get(workspace), holding)));
		return outgoing;
	}

	private OutgoingGrant send(GroupMember member, Map<String, Long> ceilings, long nowMs) {
		this.grantNumber++;
		member.addGrant(this.grantNumber, ceilings, nowMs);
		return new OutgoingGrant(member.gateway(),
				new AllowanceGrant(this.run, this.grantNumber, member.run(), member.newestSequence(), this.groupSize,
						ceilings.entrySet()
							.stream()
							.map((ceiling) -> new GrantedCeiling(ceiling.getKey(), ceiling.getValue()))
							.toList()));
	}

	private List<OutgoingGrant> takeBackSurplus(GroupMember shortMember, long nowMs) {
		List<String> shortOf = this.limits.keySet()
			.stream()
			.filter((workspace) -> this.divisions.get(workspace).isShort(shortMember.holding(workspace, nowMs)))
			.toList();
		return this.members.values()
			.stream()
			.filter((member) -> member != shortMember && mayPush(member, nowMs))
			.filter((member) -> shortOf.stream()
				.anyMatch((workspace) -> this.divisions.get(workspace).hasSurplus(member.holding(workspace, nowMs))))
			.limit(MAX_TAKEN_BACK)
			.map((member) -> grant(member, nowMs))
			.toList();
	}

	private List<OutgoingGrant> grantsToWaiting(long nowMs) {
		return this.members.values()
			.stream()
			.filter((member) -> member.isWaiting() && mayPush(member, nowMs) && canGetMore(member, nowMs))
			.map((member) -> grant(member, nowMs))
			.toList();
	}

	private boolean mayPush(GroupMember member, long nowMs) {
		return isInGroup(member, nowMs) && nowMs - member.lastSentMs() >= LocalAllowance.URGENT_INTERVAL_MS;
	}

	private boolean canGetMore(GroupMember member, long nowMs) {
		return this.limits.keySet().stream().anyMatch((workspace) -> {
			Division division = this.divisions.get(workspace);
			Holding holding = member.holding(workspace, nowMs);
			return holding.demand() > 0
					&& division.ceiling(holding) > member.lastCeiling(workspace) + division.tolerance();
		});
	}

	/**
	 * Returns changes that are to be sent without a report. Called at least every
	 * {@link LocalAllowance#URGENT_INTERVAL_MS}.
	 * @param nowMs current time of the monotonic clock
	 * @return the grants to be sent now
	 */
	public List<OutgoingGrant> dueGrants(long nowMs) {
		if (this.members.isEmpty()) {
			return List.of();
		}
		divideIfDue(nowMs);
		return grantsToWaiting(nowMs);
	}

	/**
	 * Returns the number of members of the group.
	 * @return the number of gateways that reported to this one lately
	 */
	public int groupSize() {
		return this.groupSize;
	}

	private void divideIfDue(long nowMs) {
		if (nowMs - this.dividedMs >= LocalAllowance.URGENT_INTERVAL_MS) {
			divide(nowMs);
		}
	}

	private void divide(long nowMs) {
		this.dividedMs = nowMs;
		this.formerRuns.removeIf((member) -> !member.isCounted(this.terms.windowMs(), nowMs));
		Set<GroupMember> group = this.members.values()
			.stream()
			.filter((member) -> isInGroup(member, nowMs))
			.collect(Collectors.toSet());
		this.groupSize = group.size();
		this.divisions.clear();
		this.limits.forEach((workspace, limit) -> this.divisions.put(workspace,
				division(workspace, this.terms.capacity(limit), group, nowMs)));
	}

	private Division division(String workspace, long capacity, Collection<GroupMember> group, long nowMs) {
		List<Holding> holdings = group.stream().map((member) -> member.holding(workspace, nowMs)).toList();
		long share = this.registered.isEmpty() ? 0 : capacity / this.registered.size();
		long brought = holdings.stream().mapToLong((holding) -> holding.broughtOr(share)).sum();
		long own = (group.size() == this.registered.size()) ? capacity : Math.min(brought, share * group.size());
		long silent = this.members.values()
			.stream()
			.filter((member) -> !group.contains(member) && member.isCounted(this.terms.windowMs(), nowMs))
			.map((member) -> member.holding(workspace, nowMs))
			.mapToLong((holding) -> Math.max(0, holding.committed() - holding.broughtOr(share)))
			.sum();
		long former = this.formerRuns.stream()
			.mapToLong((member) -> member.holding(workspace, nowMs).committed())
			.sum();
		return new Division(capacity, own - silent - former, group.size(),
				holdings.stream().mapToLong(Holding::use).sum(), holdings.stream().mapToLong(Holding::weight).sum(),
				holdings.stream().mapToLong(Holding::committed).sum());
	}

	/**
	 * Returns registered gateways that have been silent for so long that their entries
	 * may be deleted from the list of gateways. Empty unless more than half of the
	 * registered gateways report to this one.
	 * @param nowMs current time of the monotonic clock
	 * @return the names of the gateways
	 */
	public List<String> lostGateways(long nowMs) {
		divideIfDue(nowMs);
		Set<String> silent = new HashSet<>(this.registered);
		silent.removeIf((gateway) -> nowMs - this.lastHeardMs.getOrDefault(gateway, nowMs) < LOST_MS);
		return (2 * this.groupSize > this.registered.size()) ? silent.stream().sorted().toList() : List.of();
	}

}
