package io.anvilusher.logic.allowance;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * A run of a gateway that reports to an allocator. Confined to one thread.
 */
final class GroupMember {

	private static final long EMPTY_GRANT_MS = 2 * LocalAllowance.GRANT_MS;

	private final String gateway;

	private final long run;

	/** Grants from the newest echoed one on; the gateway holds one of them. */
	private final Deque<SentGrant> grants = new ArrayDeque<>();

	private long newestSequence;

	private long echoedSentMs = Long.MIN_VALUE / 2;

	private long lastGrantMs = Long.MIN_VALUE / 2;

	private long lastSentMs = Long.MIN_VALUE / 2;

	private long freeMs = Long.MIN_VALUE;

	private boolean joined;

	private boolean waiting;

	private Map<String, ReportedUse> uses = Map.of();

	private Map<String, Long> brought = Map.of();

	GroupMember(String gateway, long run) {
		this.gateway = gateway;
		this.run = run;
	}

	String gateway() {
		return this.gateway;
	}

	long run() {
		return this.run;
	}

	long newestSequence() {
		return this.newestSequence;
	}

	long lastSentMs() {
		return this.lastSentMs;
	}

	boolean isWaiting() {
		return this.waiting;
	}

	void setWaiting(boolean nowWaiting) {
		this.waiting = nowWaiting;
	}

	/**
	 * Returns whether the gateway has delegated its share now. An echo proves that it was
	 * a member when the grant was sent, however late the report arrived.
	 * @param nowMs current time of the monotonic clock
	 * @return whether it is a member
	 */
	boolean isMember(long nowMs) {
		return this.joined && nowMs < this.echoedSentMs + LocalAllowance.MEMBER_MS;
	}

	/**
	 * Returns whether its use must be counted: it was a member, and what it used then may
	 * be in the window.
	 * @param windowMs length of the window
	 * @param nowMs current time of the monotonic clock
	 * @return whether it is counted
	 */
	boolean isCounted(long windowMs, long nowMs) {
		return nowMs < Math.max(this.echoedSentMs + LocalAllowance.MEMBER_MS,
				this.lastGrantMs + LocalAllowance.GRANT_MS) + windowMs;
	}

	/**
	 * Takes in a report.
	 * @param report the report
	 * @param allocatorRun run of the allocator
	 * @param nowMs current time of the monotonic clock
	 * @return whether it is newer than the ones before
	 */
	boolean receive(AllowanceReport report, long allocatorRun, long nowMs) {
		if (report.sequence() <= this.newestSequence) {
			return false;
		}
		this.newestSequence = report.sequence();
		// Grants without ceilings that were not echoed by now have expired.
		this.grants.removeIf((grant) -> grant.ceilings().isEmpty() && nowMs > grant.sentMs() + EMPTY_GRANT_MS);
		boolean echoes = report.echoRun() == allocatorRun
				&& this.grants.stream().anyMatch((grant) -> grant.number() == report.echoNumber());
		if (!echoes) {
			return true;
		}
		while (this.grants.getFirst().number() < report.echoNumber()) {
			this.grants.removeFirst();
		}
		if (!isMember(nowMs) || this.grants.getFirst().ceilings().isEmpty()) {
			this.brought = report.uses()
				.stream()
				.collect(Collectors.toMap(ReportedUse::workspace, ReportedUse::ceiling, Math::max));
		}
		this.joined = true;
		this.echoedSentMs = this.grants.getFirst().sentMs();
		this.freeMs = nowMs + report.freeInMs();
		this.uses = report.uses().stream().collect(Collectors.toMap(ReportedUse::workspace, (use) -> use, (a, b) -> b));
		return true;
	}

	void addGrant(long number, Map<String, Long> ceilings, long nowMs) {
		this.grants.addLast(new SentGrant(number, nowMs, ceilings));
		this.lastSentMs = nowMs;
		if (!ceilings.isEmpty()) {
			this.lastGrantMs = nowMs;
		}
	}

	/**
	 * Returns the ceiling in the last grant.
	 * @param workspace name of the workspace
	 * @return the ceiling; 0 if none was granted
	 */
	long lastCeiling(String workspace) {
		return this.grants.isEmpty() ? 0 : this.grants.getLast().ceilings().getOrDefault(workspace, 0L);
	}

	/**
	 * Returns what the gateway uses and may use of a workspace.
	 * @param workspace name of the workspace
	 * @param nowMs current time of the monotonic clock
	 * @return the holding
	 */
	Holding holding(String workspace, long nowMs) {
		ReportedUse use = this.uses.getOrDefault(workspace, new ReportedUse(workspace, 0, 0, 0));
		long granted = 0;
		for (SentGrant grant : this.grants) {
			granted = Math.max(granted, grant.ceilings().getOrDefault(workspace, 0L));
		}
		return new Holding(use.use(), use.demand(), Math.max(Math.max(use.use(), use.ceiling()), granted),
				(nowMs < this.freeMs) ? this.brought.getOrDefault(workspace, 0L) : Holding.EQUAL_SHARE);
	}

	/**
	 * A grant that was sent.
	 *
	 * @param number its number
	 * @param sentMs time at which it was sent
	 * @param ceilings the ceilings by workspace
	 */
	private record SentGrant(long number, long sentMs, Map<String, Long> ceilings) {

	}

}
