package io.anvilusher.protocol.transport;

import io.anvilusher.protocol.generated.PeerMessages.Frame;
import io.anvilusher.protocol.generated.PeerMessages.Hello;

/**
 * An open connection to another process of the system, which has sent its {@code Hello}.
 */
public interface PeerConnection {

	/**
	 * Returns the identification of the remote process.
	 * @return the {@code Hello} that it sent in its first frame
	 */
	Hello remote();

	/**
	 * Sends a frame. Frames that are sent by one thread arrive in order, unless the
	 * connection is lost.
	 * @param frame the frame
	 * @return whether the frame was passed to the connection; if not, no part of it was
	 * sent
	 */
	boolean send(Frame frame);

	/**
	 * Closes the connection.
	 */
	void close();

}
