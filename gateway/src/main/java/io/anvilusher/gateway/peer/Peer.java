package io.anvilusher.gateway.peer;

import java.net.InetSocketAddress;

/**
 * A registered gateway.
 *
 * @param name name of the process
 * @param address address at which it receives messages
 * @param dataCentre its data centre
 * @param capacity number of processor cores that it may use, which may be a fraction
 */
public record Peer(String name, InetSocketAddress address, String dataCentre, double capacity) {

	/**
	 * Creates a gateway.
	 * @throws IllegalArgumentException if the capacity is not a positive finite number
	 */
	public Peer {
		if (!Double.isFinite(capacity) || capacity <= 0) {
			throw new IllegalArgumentException("Capacity " + capacity + " is not a positive finite number");
		}
	}

}
