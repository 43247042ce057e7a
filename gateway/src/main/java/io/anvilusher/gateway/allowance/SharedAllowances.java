package io.anvilusher.gateway.allowance;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioExecutor;

import io.anvilusher.adapters.metrics.Meters;
import io.anvilusher.adapters.process.LogInterval;
import io.anvilusher.adapters.process.MonotonicClock;
import io.anvilusher.gateway.peer.ManagedPeerChannel;
import io.anvilusher.gateway.peer.MessageType;
import io.anvilusher.gateway.peer.Peer;
import io.anvilusher.gateway.peer.PeerDatagram;
import io.anvilusher.gateway.peer.PeerRoster;
import io.anvilusher.logic.allowance.AllowanceAllocator;
import io.anvilusher.logic.allowance.AllowanceCharge;
import io.anvilusher.logic.allowance.AllowanceDecision;
import io.anvilusher.logic.allowance.AllowanceGrant;
import io.anvilusher.logic.allowance.AllowanceTerms;
import io.anvilusher.logic.allowance.LocalAllowance;
import io.anvilusher.model.routing.WorkspaceLimit;

/**
 * Divides the usage limits of workspaces among the gateways by messages: reports to the
 * allocator of this gateway, and grants to the gateways whose allocator it is. Does
 * nothing until a routing table has a workspace with a limit. Used on the traffic thread,
 * except {@link #onLimits(Map)} and {@link #isReady()}.
 */
public final class SharedAllowances implements AllowanceGuard {

	private static final Logger LOGGER = LoggerFactory.getLogger(SharedAllowances.class);

	/** Shortest time between two checks of the list of gateways that found no change. */
	private static final long ROSTER_INTERVAL_MS = 1_000;

	/** Time between two checks for gateways that are to be removed from the list. */
	private static final long REMOVAL_INTERVAL_MS = 5_000;

	/** Largest name of a workspace in a message; a part holds several of this size. */
	private static final int MAX_NAME_BYTES = 400;

	/**
	 * Longest time for which a gateway that starts is not ready because it has no grant:
	 * several times what the list of gateways, a report and its answer take.
	 */
	private static final long READY_WAIT_MS = 3_000;

	private final ManagedPeerChannel channel;

	private final XnioExecutor thread;

	private final MonotonicClock clock;

	private final LocalAllowance local;

	private final AllowanceAllocator allocator;

	private final MessageAssembler reports = new MessageAssembler();

	private final MessageAssembler grants = new MessageAssembler();

	private final AllowanceMeters meters;

	private final RefusalLog refusalLog = new RefusalLog();

	private final AllowanceTerms terms;

	private Map<String, WorkspaceLimit> limits = Map.of();

	private Map<String, Double> capacities = Map.of();

	private long rosterReadAtMs = Long.MIN_VALUE;

	private long rosterAppliedAtMs;

	private long removalCheckedAtMs;

	private final LogInterval failureLog = new LogInterval();

	private final LogInterval allocatorLog = new LogInterval();

	private String lastAllocator = "";

	private boolean active;

	private volatile boolean tableKnown;

	private volatile boolean joining;

	private volatile long joiningSinceMs;

	/**
	 * Creates the allowances; they become active with the first limit.
	 * @param terms the terms of all limits
	 * @param channel messages between the gateways
	 * @param thread the traffic thread
	 * @param clock the monotonic clock
	 * @param meters the metrics of this process
	 * @param random chooses the number of this run of the process
	 */
	public SharedAllowances(AllowanceTerms terms, ManagedPeerChannel channel, XnioExecutor thread, MonotonicClock clock,
			Meters meters, RandomGenerator random) {
		long run = random.nextLong(1, Long.MAX_VALUE);
		this.terms = terms;
		this.channel = channel;
		this.thread = thread;
		this.clock = clock;
		this.meters = new AllowanceMeters(meters);
		this.local = new LocalAllowance(terms, channel.self(), run);
		this.allocator = new AllowanceAllocator(terms, run);
	}

	/**
	 * Sets the limits of the routing table in force. Called on the control thread; calls
	 * take effect in their order.
	 * @param newLimits the limits by workspace
	 */
	public void onLimits(Map<String, WorkspaceLimit> newLimits) {
		if (!this.tableKnown && !newLimits.isEmpty()) {
			this.joiningSinceMs = this.clock.nowMs();
			this.joining = true;
		}
		this.tableKnown = true;
		this.thread.execute(() -> guard(() -> setLimits(newLimits)));
	}

	/**
	 * Returns whether this gateway can get traffic. One that starts waits for its first
	 * grant, since it would refuse requests within the limits before; but only for a
	 * short time, because it may be cut off from the other gateways. May be called on any
	 * thread.
	 * @return whether it has had a grant, no limit applied when it started, or it has
	 * waited long enough
	 */
	public boolean isReady() {
		return !this.joining || this.clock.nowMs() - this.joiningSinceMs >= READY_WAIT_MS;
	}

	private void endJoining(long nowMs) {
		if (!this.joining) {
			return;
		}
		if (this.local.isReady(nowMs)) {
			this.joining = false;
		}
		else if (nowMs - this.joiningSinceMs >= READY_WAIT_MS) {
			this.joining = false;
			LOGGER.atWarn()
				.addKeyValue("waited_ms", nowMs - this.joiningSinceMs)
				.log("No gateway has granted a part of the usage limits yet; this gateway is ready without, and "
						+ "refuses requests that it could admit with a grant");
		}
	}

	private void setLimits(Map<String, WorkspaceLimit> newLimits) {
		Map<String, WorkspaceLimit> usable = newLimits.entrySet()
			.stream()
			.filter((limit) -> hasUsableName(limit.getKey()))
			.collect(Collectors.toUnmodifiableMap(Map.Entry::getKey, Map.Entry::getValue));
		if (usable.equals(this.limits)) {
			return;
		}
		long nowMs = this.clock.nowMs();
		LOGGER.atInfo()
			.addKeyValue("workspaces", usable.size())
			.addKeyValue("before", this.limits.size())
			.addKeyValue("window_ms", this.terms.windowMs())
			.log("Usage limits of workspaces in force");
		this.limits = usable;
		this.local.setLimits(usable, nowMs);
		this.allocator.setLimits(usable);
		if (!this.active) {
			this.active = true;
			activate();
		}
	}

	private static boolean hasUsableName(String workspace) {
		boolean usable = MessageFormat.nameBytes(workspace) <= MAX_NAME_BYTES;
		if (!usable) {
			LOGGER.atError()
				.addKeyValue("workspace", workspace)
				.addKeyValue("max_bytes", MAX_NAME_BYTES)
				.log("The name of a workspace is too long to be sent to other gateways; its usage is not limited");
		}
		return usable;
	}

	private void activate() {
		this.meters.start(this.clock);
		this.channel.onMessage(MessageType.ALLOWANCE_REPORT, this::onReport);
		this.channel.onMessage(MessageType.ALLOWANCE_GRANT, this::onGrant);
		this.channel.activate();
		tick();
	}

	private void tick() {
		try {
			guard(this::step);
		}
		finally {
			this.thread.executeAfter(this::tick, LocalAllowance.URGENT_INTERVAL_MS, TimeUnit.MILLISECONDS);
		}
	}

	private void step() {
		long nowMs = this.clock.nowMs();
		this.channel.roster().ifPresent((roster) -> applyRoster(roster, nowMs));
		sendReports(nowMs);
		endJoining(nowMs);
		this.allocator.dueGrants(nowMs).forEach((grant) -> send(grant.gateway(), grant.grant()));
		this.refusalLog.endPeriods(nowMs);
		if (nowMs - this.removalCheckedAtMs >= REMOVAL_INTERVAL_MS) {
			this.removalCheckedAtMs = nowMs;
			removeLostGateways(nowMs);
		}
	}

	private void applyRoster(PeerRoster roster, long nowMs) {
		boolean changed = !roster.capacities().equals(this.capacities);
		boolean read = roster.readAtMs() != this.rosterReadAtMs && nowMs - this.rosterAppliedAtMs >= ROSTER_INTERVAL_MS;
		if (!changed && !read) {
			return;
		}
		this.rosterReadAtMs = roster.readAtMs();
		this.rosterAppliedAtMs = nowMs;
		this.capacities = roster.capacities();
		this.local.setGateways(this.capacities, nowMs);
		if (changed) {
			this.allocator.setGateways(this.capacities, nowMs);
			this.reports.retain(this.capacities.keySet());
			this.grants.retain(this.capacities.keySet());
		}
	}

	private void removeLostGateways(long nowMs) {
		Set<String> lost = Set.copyOf(this.allocator.lostGateways(nowMs));
		List<Peer> removed = this.channel.peers().stream().filter((peer) -> lost.contains(peer.name())).toList();
		removed.forEach(this.channel::remove);
	}

	private void sendReports(long nowMs) {
		this.local.dueReports(nowMs)
			.forEach((report) -> send(report.gateway(), MessageType.ALLOWANCE_REPORT,
					AllowanceMessages.of(report.report())));
	}

	private void send(String gateway, AllowanceGrant grant) {
		send(gateway, MessageType.ALLOWANCE_GRANT, AllowanceMessages.of(grant));
	}

	private void send(String gateway, MessageType type, AllowanceMessage message) {
		Optional<List<byte[]>> parts = MessageFormat.encode(message, PeerDatagram.maxPayloadBytes(this.channel.self()));
		if (parts.isEmpty()) {
			this.meters.onUnusable("too_large");
			logFailure("A message about allowances has too many workspaces and is not sent; each gateway uses only "
					+ "its own share", null);
			return;
		}
		parts.get().forEach((part) -> this.channel.send(gateway, type, part));
	}

	private void onReport(String gateway, byte[] payload) {
		assemble(this.reports, gateway, payload).ifPresent((message) -> AllowanceMessages.toReport(message)
			.ifPresentOrElse(
					(report) -> this.allocator.receive(gateway, report, this.clock.nowMs())
						.forEach((grant) -> send(grant.gateway(), grant.grant())),
					() -> this.meters.onUnusable("unreadable")));
	}

	private void onGrant(String gateway, byte[] payload) {
		assemble(this.grants, gateway, payload).ifPresent((message) -> AllowanceMessages.toGrant(message)
			.ifPresentOrElse((grant) -> apply(gateway, grant), () -> this.meters.onUnusable("unreadable")));
	}

	private Optional<AllowanceMessage> assemble(MessageAssembler assembler, String gateway, byte[] payload) {
		Optional<MessagePart> part = MessageFormat.decode(payload);
		if (part.isEmpty()) {
			this.meters.onUnusable("unreadable");
		}
		return part.flatMap((readable) -> assembler.add(gateway, readable));
	}

	private void apply(String gateway, AllowanceGrant grant) {
		long nowMs = this.clock.nowMs();
		this.local.receive(gateway, grant, nowMs);
		this.meters.onGrant(grant, nowMs);
		if (!grant.ceilings().isEmpty() && !gateway.equals(this.lastAllocator)) {
			if (this.allocatorLog.tryLog(nowMs)) {
				LOGGER.atInfo()
					.addKeyValue("allocator", gateway)
					.addKeyValue("before", this.lastAllocator)
					.addKeyValue("members", grant.members())
					.log("Allocator of the usage limits changed");
			}
			this.lastAllocator = gateway;
			this.meters.onAllocatorChanged();
		}
		sendReports(nowMs);
	}

	@Override
	public AllowanceDecision admit(String workspace, long cost) {
		long nowMs = this.clock.nowMs();
		AllowanceDecision decision = this.local.admit(workspace, cost, nowMs);
		if (!this.limits.containsKey(workspace)) {
			return decision;
		}
		if (decision instanceof AllowanceDecision.Refused refused) {
			this.meters.onRefused(workspace);
			this.refusalLog.onRefused(workspace, cost, refused.retryAfterMs(), nowMs);
		}
		else {
			this.meters.onAllowed(workspace);
		}
		guard(() -> sendReports(nowMs));
		return decision;
	}

	@Override
	public void markSent(AllowanceCharge charge) {
		this.local.markSent(charge, this.clock.nowMs());
	}

	@Override
	public void giveBack(AllowanceCharge charge) {
		this.local.giveBack(charge, this.clock.nowMs());
	}

	// An exception ends the step, neither a request nor the traffic thread.
	private void guard(Runnable step) {
		try {
			step.run();
		}
		catch (RuntimeException | Error ex) {
			this.meters.onUnusable("failed");
			logFailure("Unexpected exception while usage limits were divided; the step ends, later ones are run", ex);
		}
	}

	private void logFailure(String message, @Nullable Throwable cause) {
		if (this.failureLog.tryLog(this.clock.nowMs())) {
			LOGGER.error(message, cause);
		}
	}

}
