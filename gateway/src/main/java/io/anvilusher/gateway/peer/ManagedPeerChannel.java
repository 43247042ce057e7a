package io.anvilusher.gateway.peer;

import java.util.Optional;

/**
 * A channel that can also remove gateways from the list, and tells how old the list is.
 */
public interface ManagedPeerChannel extends PeerChannel, PeerRemoval {

	/**
	 * Returns the gateways among which shared limits are divided. May be called on any
	 * thread.
	 * @return the gateways; empty before the first read of the list
	 */
	Optional<PeerRoster> roster();

}
