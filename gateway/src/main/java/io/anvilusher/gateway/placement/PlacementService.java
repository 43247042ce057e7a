package io.anvilusher.gateway.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.ToLongFunction;
import java.util.random.RandomGenerator;

import io.anvilusher.adapters.metrics.Meters;
import io.anvilusher.gateway.peer.MessageType;
import io.anvilusher.gateway.peer.PeerChannel;
import io.anvilusher.logic.placement.coordinated.PlacementCoordinator;
import io.anvilusher.logic.placement.coordinated.PlacementDecision;
import io.anvilusher.logic.placement.coordinated.PlacementRequest;
import io.anvilusher.logic.placement.coordinated.RequestKey;
import io.anvilusher.model.fleet.RegisteredServer;

/**
 * Acts as the coordinator of the placement groups that other gateways ask this one for.
 * Used on the traffic thread.
 */
public final class PlacementService {

	/** Interval at which queued requests are placed: the time of a few engine steps. */
	static final long DISPATCH_INTERVAL_MS = 5;

	/** Interval at which the engines of a group are read from the registry. */
	static final long ENGINES_INTERVAL_MS = 20;

	private final PeerChannel peers;

	private final Timers timers;

	private final Meters meters;

	private final RandomGenerator random;

	private final Function<String, List<RegisteredServer>> engines;

	private final ToLongFunction<String> kvCapacityTokens;

	private final Map<PlacementGroup, CoordinatedGroup> groups = new HashMap<>();

	private boolean draining;

	/**
	 * Creates the service.
	 * @param peers messages to other gateways
	 * @param timers clock and timers of the traffic thread
	 * @param meters the metrics of this process
	 * @param random spreads retry-after times
	 * @param engines returns the engines of a service that take new requests
	 * @param kvCapacityTokens returns the capacity of the KV cache of a service's engines
	 */
	public PlacementService(PeerChannel peers, Timers timers, Meters meters, RandomGenerator random,
			Function<String, List<RegisteredServer>> engines, ToLongFunction<String> kvCapacityTokens) {
		this.peers = peers;
		this.timers = timers;
		this.meters = meters;
		this.random = random;
		this.engines = engines;
		this.kvCapacityTokens = kvCapacityTokens;
		peers.onMessage(MessageType.PLACEMENT_REQUEST, this::onRequest);
		peers.onMessage(MessageType.PLACEMENT_END, this::onEnd);
	}

	/**
	 * Stops to coordinate because the process shuts down: other gateways are told so with
	 * each request, also for those that are queued.
	 */
	public void drain() {
		this.draining = true;
	}

	private void onRequest(String peerName, byte[] payload) {
		PlacementMessages.decodeAsk(payload)
			.ifPresentOrElse((ask) -> onAsk(peerName, ask), () -> countMalformed("request"));
	}

	private void countMalformed(String type) {
		this.meters.counter("anvilusher.placement.malformed", "type", type).increment();
	}

	private void onAsk(String peerName, PlacementMessages.Ask ask) {
		if (this.draining) {
			reply(peerName, ask.number(), Optional.empty());
			return;
		}
		long nowMs = this.timers.nowMs();
		CoordinatedGroup group = group(ask.group());
		group.refreshEngines(nowMs);
		Optional<PlacementDecision> decision = group.coordinator()
			.onRequest(new PlacementRequest(new RequestKey(peerName, ask.number()), ask.prompt(),
					nowMs + ask.targetLeftMs(), nowMs + ask.deadlineLeftMs(), ask.priority(), ask.splitExtraMs(),
					ask.excludedEngines()), nowMs);
		this.meters
			.counter("anvilusher.placement.decisions", "decision",
					decision.map((made) -> made.getClass().getSimpleName()).orElse("None"))
			.increment();
		reply(peerName, ask.number(), decision);
		group.scheduleDispatch();
	}

	private void onEnd(String peerName, byte[] payload) {
		PlacementMessages.decodeEnd(payload)
			.ifPresentOrElse((end) -> onEnd(peerName, end), () -> countMalformed("end"));
	}

	private void onEnd(String peerName, PlacementMessages.End end) {
		Optional.ofNullable(this.groups.get(end.group())).ifPresent((group) -> {
			group.coordinator().onReport(new RequestKey(peerName, end.number()), end.report(), this.timers.nowMs());
			group.dispatch();
		});
	}

	private void reply(String peerName, long number, Optional<PlacementDecision> decision) {
		this.peers.send(peerName, MessageType.PLACEMENT_REPLY, PlacementMessages.encode(number, decision));
	}

	private CoordinatedGroup group(PlacementGroup name) {
		return this.groups.computeIfAbsent(name, (created) -> new CoordinatedGroup(created,
				new PlacementCoordinator(this.kvCapacityTokens.applyAsLong(created.service()), this.random)));
	}

	private final class CoordinatedGroup {

		private final PlacementGroup name;

		private final PlacementCoordinator coordinator;

		private long refreshedAtMs = Long.MIN_VALUE / 2;

		private boolean scheduled;

		CoordinatedGroup(PlacementGroup name, PlacementCoordinator coordinator) {
			this.name = name;
			this.coordinator = coordinator;
		}

		PlacementCoordinator coordinator() {
			return this.coordinator;
		}

		void refreshEngines(long nowMs) {
			if (nowMs - this.refreshedAtMs < ENGINES_INTERVAL_MS) {
				return;
			}
			this.refreshedAtMs = nowMs;
			List<RegisteredServer> all = PlacementService.this.engines.apply(this.name.service());
			List<PlacementGroup> groups = PlacementGroup.of(this.name.service(), all.size());
			List<RegisteredServer> own = all.stream()
				.filter((engine) -> PlacementGroup.select(groups, engine.id()).equals(this.name))
				.toList();
			send(this.coordinator.updateEngines(own, nowMs));
		}

		void scheduleDispatch() {
			if (!this.scheduled && this.coordinator.hasQueued()) {
				this.scheduled = true;
				PlacementService.this.timers.schedule(DISPATCH_INTERVAL_MS, () -> {
					this.scheduled = false;
					refreshEngines(PlacementService.this.timers.nowMs());
					dispatch();
					scheduleDispatch();
				});
			}
		}

		void dispatch() {
			send(this.coordinator.dispatch(PlacementService.this.timers.nowMs()));
		}

		private void send(List<PlacementCoordinator.Decided> decided) {
			decided.forEach((one) -> reply(one.key().gateway(), one.key().number(), Optional.of(one.decision())));
		}

	}

}
