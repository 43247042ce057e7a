package io.anvilusher.logic.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;

import io.anvilusher.model.fleet.ServerLoad;

/**
 * Sends prompts with the same beginning to the same server while that server is not much
 * busier than the others, and else takes the less busy of two servers drawn at random, so
 * that entries with the same stale view do not all choose the same one.
 */
public final class PrefixAffinePicker implements ServerPicker {

	/** How far above the mean utilization the preferred server may be. */
	private static final double MAX_EXCESS_UTILIZATION = 0.25;

	private final RandomGenerator random;

	/**
	 * Creates a picker.
	 * @param random source of the draws
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
			boolean busy = LoadEstimate.utilization(preferred) > mean + MAX_EXCESS_UTILIZATION;
			if (LoadEstimate.hasFreeSlot(preferred) && !busy) {
				return Optional.of(preferred);
			}
		}
		return Optional.of(lessBusyOfTwo(free));
	}

	private static ServerLoad preferred(List<ServerLoad> servers, long prefixHash) {
		return servers.stream()
			.max(Comparator.comparingLong((server) -> Rendezvous.mix(server.server(), prefixHash)))
			.orElseThrow();
	}

	private ServerLoad lessBusyOfTwo(List<ServerLoad> free) {
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
