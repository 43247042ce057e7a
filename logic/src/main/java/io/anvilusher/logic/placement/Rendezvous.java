package io.anvilusher.logic.placement;

/**
 * Rendezvous hashing: all gateways rank the servers for a key alike, and the loss of a
 * server moves only its own keys.
 */
final class Rendezvous {

	private Rendezvous() {
	}

	/**
	 * Weighs a server for a key.
	 * @param serverId identity of the server
	 * @param key the key
	 * @return the weight; the highest wins
	 */
	static long weight(String serverId, String key) {
		long mixed = key.hashCode() * 0xC2B2AE3D27D4EB4FL ^ (serverId.hashCode() * 0x9E3779B97F4A7C15L);
		mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
		mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
		return mixed ^ (mixed >>> 31);
	}

}
