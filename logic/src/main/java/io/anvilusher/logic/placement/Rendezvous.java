package io.anvilusher.logic.placement;

/**
 * Rendezvous hashing: all gateways rank the servers for a key alike, and the loss of a
 * server moves only its own keys.
 */
final class Rendezvous {

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
	static double rank(String serverId, String key, double share) {
		double draw = ((mix(serverId, key) >>> 11) + 0.5) / (1L << 53);
		return -Math.log(draw) / share;
	}

	private static long mix(String serverId, String key) {
		long mixed = key.hashCode() * 0xC2B2AE3D27D4EB4FL ^ (serverId.hashCode() * 0x9E3779B97F4A7C15L);
		mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
		mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
		return mixed ^ (mixed >>> 31);
	}

}
