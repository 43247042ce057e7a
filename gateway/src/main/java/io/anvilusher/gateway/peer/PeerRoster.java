package io.anvilusher.gateway.peer;

import java.util.Map;

/**
 * The gateways of a deployment as they were last read.
 *
 * @param capacities number of processor cores by name of the gateway
 * @param readAtMs time of the last successful read, by the monotonic clock
 */
public record PeerRoster(Map<String, Double> capacities, long readAtMs) {

	/**
	 * Creates a roster.
	 */
	public PeerRoster {
		capacities = Map.copyOf(capacities);
	}

}
