package io.anvilusher.logic.routing;

import java.util.Comparator;
import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * Rendezvous hashing: all who decide rank the servers for a key alike, and the loss of a
 * server moves only its own keys.
 */
public final class Rendezvous {

	private static final long KEY_FACTOR = 0xC2B2AE3D27D4EB4FL;

	private Rendezvous() {
	}

	/**
	 * Ranks a server for a key. Over many keys, a server comes first as often as its
	 * share says.
	 * @param serverId identity of the server
	 * @param key the key
	 * @param share the server's share relative to the others
	 * @return the rank; the lowest comes first
	 */
	public static double rank(String serverId, String key, double share) {
		double draw = ((mix(serverId, key.hashCode() * KEY_FACTOR) >>> 11) + 0.5) / (1L << 53);
		return -Math.log(draw) / share;
	}

	/**
	 * Orders servers by their ranks, each of which is computed once.
	 * @param <T> type of the servers
	 * @param servers the servers
	 * @param rank gives the rank of a server
	 * @return the servers, lowest rank first
	 */
	public static <T> List<T> order(List<T> servers, ToDoubleFunction<T> rank) {
		return servers.stream()
			.map((server) -> new Ranked<>(server, rank.applyAsDouble(server)))
			.sorted(Comparator.comparingDouble(Ranked::rank))
			.map(Ranked::server)
			.toList();
	}

	/**
	 * Mixes a server with the hash of a key.
	 * @param serverId identity of the server
	 * @param keyHash hash of the key
	 * @return the mixed bits
	 */
	static long mix(String serverId, long keyHash) {
		long mixed = keyHash ^ (serverId.hashCode() * 0x9E3779B97F4A7C15L);
		mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
		mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
		return mixed ^ (mixed >>> 31);
	}

	private record Ranked<T>(T server, double rank) {

	}

}
