package io.anvilusher.logic.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;

import io.anvilusher.model.fleet.ServerLoad;

/**
 * Selects the same server for prompts with the same prefix as long as its load is not far
 * above the average. Otherwise it selects the less loaded of two random servers ("power
 * of two choices"), so that entries with the same outdated load reports do not all select
 * the same server.
 */
public final class PrefixAffinePicker implements ServerPicker {

	/** Maximum by which the utilization of the preferred server may exceed the mean. */
	private static final double MAX_EXCESS_UTILIZATION = 0.25;

	private final RandomGenerator random;

	/**
	 * Creates a picker with a source of randomness.
	 * @param random selects the two servers to compare
	 */
	public PrefixAffinePicker(RandomGenerator random) {
		this.random = random;
	}

	@Override
	public Optional<ServerLoad> pick(List<ServerLoad> servers, OptionalLong prefixHash) {
		List<ServerLoad> free = servers.stream().filter(LoadEstimate::hasFreeSlot).toList();
		if (free.isEmpty()) {
			return Optional.empty();
		}
		if (prefixHash.isPresent()) {
			ServerLoad preferred = preferred(servers, prefixHash.getAsLong());
			double mean = servers.stream().mapToDouble(LoadEstimate::utilization).average().orElse(0);
			boolean overloaded = LoadEstimate.utilization(preferred) > mean + MAX_EXCESS_UTILIZATION;
			if (LoadEstimate.hasFreeSlot(preferred) && !overloaded) {
				return Optional.of(preferred);
			}
		}
		return Optional.of(lessLoadedOfTwo(free));
	}

	private static ServerLoad preferred(List<ServerLoad> servers, long prefixHash) {
		return servers.stream()
			.max(Comparator.comparingLong((server) -> Rendezvous.hash(server.server(), prefixHash)))
			.orElseThrow();
	}

	private ServerLoad lessLoadedOfTwo(List<ServerLoad> free) {
		int firstIndex = this.random.nextInt(free.size());
		ServerLoad first = free.get(firstIndex);
		if (free.size() == 1) {
			return first;
		}
		int step = 1 + this.random.nextInt(free.size() - 1);
		ServerLoad second = free.get((firstIndex + step) % free.size());
		return (LoadEstimate.utilization(second) < LoadEstimate.utilization(first)) ? second : first;
	}

}
