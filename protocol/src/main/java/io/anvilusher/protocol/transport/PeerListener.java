package io.anvilusher.protocol.transport;

import io.anvilusher.protocol.generated.PeerMessages.Frame;

/**
 * Receives what happens on connections. Calls for one connection come from one thread.
 */
public interface PeerListener {

	/**
	 * A connection is open and the other side has introduced itself.
	 * @param connection the connection
	 */
	void onOpen(PeerConnection connection);

	/**
	 * A frame arrived.
	 * @param connection the connection
	 * @param frame the frame
	 */
	void onFrame(PeerConnection connection, Frame frame);

	/**
	 * An open connection ended.
	 * @param connection the connection
	 */
	void onClosed(PeerConnection connection);

}
