package io.anvilusher.gateway.peer;

/**
 * A channel that can also remove gateways from the list.
 */
public interface ManagedPeerChannel extends PeerChannel, PeerRemoval {

}
