package io.anvilusher.gateway.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import io.anvilusher.adapters.metrics.Meters;
import io.anvilusher.gateway.limit.ServerLimits;
import io.anvilusher.logic.placement.Placement;
import io.anvilusher.logic.placement.TrackedServer;

/**
 * Places one request only on servers that it may be sent to: those without a limit, and
 * limited ones for which this gateway has a permit. Servers that lack one are noted as
 * wanted, so that permits for them are asked for.
 */
final class LimitedPlacement {

	private final ServerLimits limits;

	private final Meters meters;

	private final String service;

	private Map<String, Long> wantedAtMs = Map.of();

	private Optional<DecodePermit> decodePermit = Optional.empty();

	LimitedPlacement(ServerLimits limits, Meters meters, String service) {
		this.limits = limits;
		this.meters = meters;
		this.service = service;
	}

	/**
	 * Places the request.
	 * @param servers the servers of its service
	 * @param placer places it on some of these servers
	 * @param nowMs current time of the monotonic clock
	 * @return the placement on servers with a permit; {@link Placement.Full} if the
	 * servers that are left without those that lack one are unhealthy, or there are none
	 */
	Placement place(List<TrackedServer> servers, Function<List<TrackedServer>, Placement> placer, long nowMs) {
		List<TrackedServer> usable = servers;
		while (true) {
			Placement placement = placer.apply(usable);
			List<TrackedServer> lacking = chosen(placement).filter((server) -> !this.limits.hasPermit(server)).toList();
			if (lacking.isEmpty()) {
				return (usable.size() < servers.size()) ? divert(placement, nowMs) : placement;
			}
			lacking.forEach((server) -> want(server, nowMs));
			usable = without(usable, lacking);
		}
	}

	// Waiting for a healthy server is better than being sent to one that fails.
	private Placement divert(Placement placement, long nowMs) {
		boolean found = chosen(placement).findAny().isPresent()
				&& chosen(placement).noneMatch((server) -> server.health().isUnhealthy(nowMs));
		if (found) {
			count("diverted");
		}
		return found ? placement : new Placement.Full();
	}

	/**
	 * Records that the request waits for a permit.
	 */
	void onWaiting() {
		count("waited");
	}

	/**
	 * Records that the request is refused because all servers have limits.
	 */
	void onRefused() {
		count("refused");
	}

	private void count(String outcome) {
		this.meters.counter("anvilusher.server.limit.requests", "service", this.service, "outcome", outcome)
			.increment();
	}

	private static Stream<TrackedServer> chosen(Placement placement) {
		if (placement instanceof Placement.SingleServer single) {
			return Stream.of(single.server());
		}
		return (placement instanceof Placement.Split split) ? Stream.of(split.prefill(), split.decode())
				: Stream.empty();
	}

	/**
	 * Selects a decode engine with a permit.
	 * @param engines the engines of the service
	 * @param placer selects one of some engines
	 * @param nowMs current time of the monotonic clock
	 * @return the engine, or empty if none is left that has a permit
	 */
	Optional<TrackedServer> placeDecode(List<TrackedServer> engines,
			Function<List<TrackedServer>, Optional<TrackedServer>> placer, long nowMs) {
		List<TrackedServer> usable = engines;
		Optional<TrackedServer> selected = placer.apply(usable);
		while (selected.isPresent() && !this.limits.hasPermit(selected.get())) {
			want(selected.get(), nowMs);
			usable = without(usable, List.of(selected.get()));
			selected = placer.apply(usable);
		}
		return selected;
	}

	/**
	 * Returns the servers that lack a permit, and notes them as wanted.
	 * @param servers the servers of the service
	 * @param nowMs current time of the monotonic clock
	 * @return the servers that the request cannot be sent to now
	 */
	List<TrackedServer> lacking(List<TrackedServer> servers, long nowMs) {
		List<TrackedServer> lacking = servers.stream().filter((server) -> !this.limits.hasPermit(server)).toList();
		lacking.forEach((server) -> want(server, nowMs));
		return lacking;
	}

	/**
	 * Uses a permit for the decode engine of a request whose prompt is prefilled first.
	 * @param engine the decode engine
	 * @param nowMs current time of the monotonic clock
	 * @return whether there was a permit or the engine has no limit
	 */
	boolean takeForDecode(TrackedServer engine, long nowMs) {
		boolean taken = this.limits.tryTake(engine);
		this.decodePermit = taken ? Optional.of(new DecodePermit(engine, nowMs)) : Optional.empty();
		return taken;
	}

	/**
	 * Returns whether a request may be sent to the decode engine that was selected before
	 * the prefill. Uses the permit that was taken then, or another one if that has
	 * expired.
	 * @param engine the engine
	 * @param nowMs current time of the monotonic clock
	 * @return whether there is a permit or the engine has no limit
	 */
	boolean mayDecode(TrackedServer engine, long nowMs) {
		boolean valid = this.decodePermit.filter((permit) -> permit.isValid(engine, nowMs)).isPresent();
		this.decodePermit = Optional.empty();
		return valid || this.limits.tryTake(engine);
	}

	/**
	 * Estimates when the request can be sent to the first of some servers.
	 * @param servers the servers
	 * @return the time in ms; empty if no limit is in its way
	 */
	OptionalLong nextPermitInMs(List<TrackedServer> servers) {
		return this.limits.nextPermitInMs(servers);
	}

	private void want(TrackedServer server, long nowMs) {
		if (this.wantedAtMs.isEmpty()) {
			this.wantedAtMs = new HashMap<>();
		}
		Long lastMs = this.wantedAtMs.get(server.server().id());
		if (lastMs == null || nowMs - lastMs >= ServerLimits.WANTED_INTERVAL_MS) {
			this.wantedAtMs.put(server.server().id(), nowMs);
			this.limits.onWanted(server);
		}
	}

	private static List<TrackedServer> without(List<TrackedServer> servers, List<TrackedServer> removed) {
		return servers.stream()
			.filter((server) -> !removed.contains(server))
			.collect(Collectors.toCollection(ArrayList::new));
	}

}
