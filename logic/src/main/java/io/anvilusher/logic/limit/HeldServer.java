package io.anvilusher.logic.limit;

import java.util.Optional;

/**
 * Permits of one server, and the wishes for others.
 */
final class HeldServer {

	/** Shortest time between two wishes. */
	private static final long MIN_INTERVAL_MS = 20;

	/** Time after which a wish that was not answered is sent again. */
	private static final long RETRY_MS = 250;

	/** Interval at which a gateway that waits for a permit renews its wish. */
	private static final long RENEWAL_MS = 250;

	/** The same while its turn comes later. */
	private static final long LATE_RENEWAL_MS = 500;

	private static final long LATE_MS = 2_000;

	/** Longest time between two wishes, so that support does not end. */
	private static final long SUPPORT_INTERVAL_MS = 800;

	/** Longest time for which calls that were sent without a permit are not reported. */
	private static final long CALLS_MS = 100;

	/**
	 * Rate at which this gateway accepts permits, as a part of the limit. It bounds what
	 * a keeper can issue that has not heard of a lower limit yet.
	 */
	private static final double ACCEPTED_PART = 1.25;

	private static final double ACCEPTED_BURST_S = 0.5;

	private static final int MIN_ACCEPTED_BURST = 2;

	private final String serverId;

	private final long run;

	private final KeeperChoice choice;

	private final PermitStock stock = new PermitStock();

	private final PermitDemand demand = new PermitDemand();

	private final SentWishes sentWishes = new SentWishes();

	private final TokenBucket accepted;

	private double limitPerS;

	private boolean limited;

	private long sequence;

	private long lastSentMs = Long.MIN_VALUE / 2;

	private int calls;

	/** Permits of the newest wish that were not granted yet. */
	private int waitingFor;

	private long nextPermitAtMs = Long.MIN_VALUE;

	HeldServer(String serverId, long run, KeeperRanking ranking, long nowMs) {
		this.serverId = serverId;
		this.run = run;
		this.choice = new KeeperChoice(ranking);
		this.accepted = new TokenBucket(ACCEPTED_BURST_S, MIN_ACCEPTED_BURST, nowMs);
	}

	void setRanking(KeeperRanking ranking, long nowMs) {
		this.choice.setRanking(ranking, nowMs);
	}

	void setLimit(double newLimitPerS, long nowMs) {
		if (this.limited && newLimitPerS < this.limitPerS) {
			this.stock.cap((int) Math.max(1, newLimitPerS * KeptServer.BURST_S), nowMs);
		}
		this.accepted.fill(newLimitPerS * ACCEPTED_PART, nowMs);
		if (!this.limited) {
			this.accepted.top();
		}
		this.limited = true;
		this.limitPerS = newLimitPerS;
	}

	void endLimit() {
		this.limited = false;
	}

	boolean isLimited() {
		return this.limited;
	}

	/**
	 * Returns whether no keeper counts the support of this gateway any more.
	 * @param nowMs current time of the monotonic clock
	 * @return whether there is no limit and the last wish is older than
	 * {@link PermitHolder#SUPPORT_MS}
	 */
	boolean isOver(long nowMs) {
		return !this.limited && nowMs - this.lastSentMs >= PermitHolder.SUPPORT_MS;
	}

	boolean hasPermit(long nowMs) {
		return !this.stock.isEmpty(nowMs);
	}

	boolean tryTake(long nowMs) {
		boolean taken = this.stock.tryTake(nowMs);
		if (taken) {
			this.demand.onUsed(nowMs);
		}
		return taken;
	}

	void onWanted(long nowMs) {
		this.demand.onWanted(nowMs);
	}

	void countCall(long nowMs) {
		if (!this.stock.tryTake(nowMs)) {
			this.calls++;
		}
	}

	long nextPermitInMs(long nowMs) {
		if (hasPermit(nowMs)) {
			return 0;
		}
		if (this.nextPermitAtMs == Long.MIN_VALUE || !this.choice.isAnswered()) {
			return this.choice.freeInMs(nowMs) + (long) (1_000 / this.limitPerS);
		}
		return Math.max(0, this.nextPermitAtMs - nowMs);
	}

	void receive(String gateway, PermitGrant grant, long nowMs) {
		Optional<SentWishes.SentWish> found = this.sentWishes.find(gateway, grant, nowMs);
		if (found.isEmpty()) {
			return;
		}
		this.choice.onAnswer(gateway, grant.supporters(), nowMs);
		SentWishes.SentWish answered = found.get();
		int permits = answered.receive(grant.permits());
		if (permits > 0) {
			accept(permits, answered.permitsUntilMs(), nowMs);
			this.demand.onGranted(answered.wish().permits(), permits);
			this.waitingFor = 0;
		}
		this.nextPermitAtMs = nowMs + grant.nextPermitInMs();
	}

	private void accept(int permits, long validUntilMs, long nowMs) {
		this.accepted.fill(this.limitPerS * ACCEPTED_PART, nowMs);
		int acceptable = Math.min(permits, this.accepted.whole());
		this.accepted.take(acceptable);
		this.stock.add(acceptable, validUntilMs);
	}

	void onPaused(long nowMs) {
		this.choice.onPaused(nowMs);
	}

	Optional<OutgoingWish> dueWish(long nowMs) {
		this.calls += this.sentWishes.expire(nowMs);
		if (!this.limited || nowMs - this.lastSentMs < MIN_INTERVAL_MS) {
			return Optional.empty();
		}
		int lacking = Math.max(0, this.demand.permits(nowMs) - this.stock.count(nowMs));
		if (!isDue(lacking, nowMs)) {
			return Optional.empty();
		}
		return this.choice.target(nowMs).map((gateway) -> send(gateway, lacking, nowMs));
	}

	private boolean isDue(int lacking, long nowMs) {
		long sinceLastMs = nowMs - this.lastSentMs;
		if (!this.choice.isAnswered() && sinceLastMs >= RETRY_MS) {
			return true;
		}
		if (this.waitingFor > 0) {
			boolean late = this.nextPermitAtMs - nowMs > LATE_MS;
			return lacking == 0 || lacking > 2 * this.waitingFor
					|| sinceLastMs >= (late ? LATE_RENEWAL_MS : RENEWAL_MS);
		}
		return lacking > 0 || sinceLastMs >= SUPPORT_INTERVAL_MS || (this.calls > 0 && sinceLastMs >= CALLS_MS);
	}

	private OutgoingWish send(String gateway, int lacking, long nowMs) {
		this.sequence = Math.max(this.sequence + 1, nowMs);
		PermitWish wish = new PermitWish(this.serverId, this.run, this.sequence, lacking, this.calls);
		this.sentWishes.add(gateway, wish, nowMs);
		this.choice.onSent(nowMs);
		this.lastSentMs = nowMs;
		this.waitingFor = lacking;
		this.calls = 0;
		return new OutgoingWish(gateway, wish);
	}

}
