package io.anvilusher.logic.routing;

import java.util.Comparator;
import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * Rendezvous (highest random weight) hashing. All processes order the servers for a key
 * in the same way without coordination, and the loss of a server moves only the keys that
 * were placed on it.
 */
public final class Rendezvous {

	private static final long KEY_FACTOR = 0xC2B2AE3D27D4EB4FL;

	private Rendezvous() {
	}

	/**
	 * Computes the rank of a server for a key. Over many keys, the servers rank first in
	 * proportion to their weights.
	 * @param serverId id of the server
	 * @param key the key
	 * @param weight weight of the server relative to the other servers
	 * @return the rank; the server with the lowest rank is the first choice for the key
	 */
	public static double rank(String serverId, String key, double weight) {
		double uniform = ((hash(serverId, key.hashCode() * KEY_FACTOR) >>> 11) + 0.5) / (1L << 53);
		return -Math.log(uniform) / weight;
	}

	/**
	 * Sorts servers by rank. The rank of each server is computed only once.
	 * @param <T> type of the servers
	 * @param servers the servers
	 * @param rank computes the rank of a server
	 * @return the servers, lowest rank first
	 */
	public static <T> List<T> sortByRank(List<T> servers, ToDoubleFunction<T> rank) {
		return servers.stream()
			.map((server) -> new Ranked<>(server, rank.applyAsDouble(server)))
			.sorted(Comparator.comparingDouble(Ranked::rank))
			.map(Ranked::server)
			.toList();
	}

	/**
	 * Hashes the combination of a server and a key.
	 * @param serverId id of the server
	 * @param keyHash hash of the key
	 * @return the 64-bit hash
	 */
	static long hash(String serverId, long keyHash) {
		long bits = keyHash ^ (serverId.hashCode() * 0x9E3779B97F4A7C15L);
		bits = (bits ^ (bits >>> 30)) * 0xBF58476D1CE4E5B9L;
		bits = (bits ^ (bits >>> 27)) * 0x94D049BB133111EBL;
		return bits ^ (bits >>> 31);
	}

	private record Ranked<T>(T server, double rank) {

	}

}
