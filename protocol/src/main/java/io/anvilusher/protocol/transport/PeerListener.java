package io.anvilusher.protocol.transport;

import io.anvilusher.protocol.generated.PeerMessages.Frame;

/**
 * Receives the events of connections. It is called for each connection on a single
 * thread.
 */
public interface PeerListener {

	/**
	 * A connection is open and the remote process has sent its {@code Hello}.
	 * @param connection the connection
	 */
	void onOpen(PeerConnection connection);

	/**
	 * A frame arrived after the {@code Hello}. Keep-alives are not passed on.
	 * @param connection the connection
	 * @param frame the frame
	 */
	void onFrame(PeerConnection connection, Frame frame);

	/**
	 * An open connection was closed or lost.
	 * @param connection the connection
	 */
	void onClosed(PeerConnection connection);

}
