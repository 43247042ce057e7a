package io.anvilusher.gateway.peer;

/**
 * Removes gateways that no longer run from the list of gateways.
 */
@FunctionalInterface
public interface PeerRemoval {

	/**
	 * Removes the entry of a gateway from the store if its newest entry is still the
	 * given one. Returns at once. A failed removal is logged and not repeated; the caller
	 * calls again if the gateway stays in the list. A gateway that still runs registers
	 * again. May be called on any thread.
	 * @param peer the gateway, as listed by {@link PeerChannel#peers()}; this gateway
	 * itself is never removed
	 */
	void remove(Peer peer);

}
