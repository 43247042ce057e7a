package io.anvilusher.logic.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Issues the permits of one server.
 */
final class KeptServer {

	/** Interval at which the supporters are counted anew. */
	private static final long COUNT_INTERVAL_MS = 20;

	/** Silence after which a gateway is forgotten. */
	private static final long FORGET_MS = 30_000;

	/** Gateways that ask although they are not registered yet. */
	private static final int MAX_UNREGISTERED = 100;

	/** Time over which permits are saved up, in s. */
	static final double BURST_S = 0.25;

	private static final long LONGEST_WAIT_MS = 60_000;

	private final String serverId;

	private final long run;

	private final Electorate electorate;

	private final TokenBucket bucket;

	private final Map<String, WishSender> senders = new HashMap<>();

	private final WaitingGateways waiting = new WaitingGateways();

	private double limitPerS;

	private Support support = new Support(0, 0, 1);

	private long turns;

	private long countedMs = Long.MIN_VALUE / 2;

	KeptServer(String serverId, long run, Electorate electorate, double limitPerS, long nowMs) {
		this.serverId = serverId;
		this.run = run;
		this.electorate = electorate;
		this.limitPerS = limitPerS;
		this.bucket = new TokenBucket(BURST_S, 1, nowMs);
	}

	void setLimit(double newLimitPerS, long nowMs) {
		refresh(nowMs);
		this.limitPerS = newLimitPerS;
		this.bucket.fill(newLimitPerS * this.support.part(), nowMs);
	}

	List<OutgoingGrant> receive(String gateway, PermitWish wish, long nowMs) {
		refresh(nowMs);
		WishSender sender = senderFor(gateway, wish.run(), nowMs);
		boolean supported = sender != null && sender.supports(nowMs);
		if (sender == null || !sender.receive(wish.sequence(), nowMs)) {
			return List.of();
		}
		if (!supported) {
			recount(nowMs);
		}
		this.bucket.charge(wish.calls(), this.limitPerS);
		if (wish.permits() > 0) {
			this.waiting.add(gateway, wish, sender.sentMs(), sender.lastTurn());
		}
		else {
			this.waiting.remove(gateway);
		}
		List<OutgoingGrant> grants = new ArrayList<>(serve(nowMs));
		if (grants.stream().noneMatch((grant) -> grant.gateway().equals(gateway))) {
			grants.add(grant(gateway, wish, 0));
		}
		return grants;
	}

	private WishSender senderFor(String gateway, long gatewayRun, long nowMs) {
		WishSender known = this.senders.get(gateway);
		if (known != null && known.run() == gatewayRun) {
			return known;
		}
		if (known != null && known.isFormerRun(gatewayRun)) {
			return null;
		}
		if (known == null && !this.electorate.contains(gateway)
				&& this.senders.size() >= this.electorate.size() + MAX_UNREGISTERED) {
			return null;
		}
		WishSender started = (known != null) ? known.restarted(gatewayRun, nowMs)
				: WishSender.first(gateway, gatewayRun, nowMs);
		this.senders.put(gateway, started);
		this.waiting.remove(gateway);
		return started;
	}

	List<OutgoingGrant> dueGrants(long nowMs) {
		if (this.waiting.isEmpty()) {
			return List.of();
		}
		refresh(nowMs);
		return serve(nowMs);
	}

	private void refresh(long nowMs) {
		if (nowMs - this.countedMs >= COUNT_INTERVAL_MS) {
			this.senders.values().removeIf((sender) -> nowMs - sender.lastHeardMs() > FORGET_MS);
			recount(nowMs);
		}
		this.bucket.fill(this.limitPerS * this.support.part(), nowMs);
	}

	private void recount(long nowMs) {
		this.countedMs = nowMs;
		this.support = count(nowMs);
		if (this.support.supporters() == 0) {
			this.bucket.drain();
		}
		this.bucket.fill(this.limitPerS * this.support.part(), nowMs);
	}

	private Support count(long nowMs) {
		List<String> supporters = this.senders.entrySet()
			.stream()
			.filter((sender) -> sender.getValue().supports(nowMs))
			.map(Map.Entry::getKey)
			.filter(this.electorate::contains)
			.toList();
		int settled = (int) supporters.stream().filter((gateway) -> this.electorate.isSettled(gateway, nowMs)).count();
		return new Support(supporters.size(), settled, this.electorate.size());
	}

	private List<OutgoingGrant> serve(long nowMs) {
		if (this.waiting.isEmpty() || this.bucket.whole() == 0) {
			return List.of();
		}
		List<WaitingGateways.Waiting> ready = this.waiting.ready(nowMs);
		int share = Math.max(1, this.bucket.whole() / Math.max(1, ready.size()));
		List<OutgoingGrant> grants = new ArrayList<>();
		for (WaitingGateways.Waiting next : ready) {
			int permits = Math.min(Math.min(share, this.bucket.whole()), next.wish().permits());
			if (permits == 0) {
				break;
			}
			this.bucket.take(permits);
			this.waiting.remove(next.gateway());
			this.senders.get(next.gateway()).onTurn(++this.turns);
			grants.add(grant(next.gateway(), next.wish(), permits));
		}
		return grants;
	}

	private OutgoingGrant grant(String gateway, PermitWish wish, int permits) {
		int ahead = this.waiting.ahead(gateway, this.senders.get(gateway).lastTurn());
		long nextMs = Math.min(LONGEST_WAIT_MS, this.bucket.timeUntilMs(ahead + 1));
		return new OutgoingGrant(gateway, new PermitGrant(this.serverId, this.run, wish.run(), wish.sequence(), permits,
				this.support.supporters(), nextMs));
	}

}
