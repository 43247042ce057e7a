package io.anvilusher.protocol.transport;

import io.anvilusher.protocol.generated.PeerMessages.Frame;
import io.anvilusher.protocol.generated.PeerMessages.Hello;

/**
 * A connection to another process of the system, after both sides have introduced
 * themselves.
 */
public interface PeerConnection {

	/**
	 * Returns how the other side introduced itself.
	 * @return its first frame
	 */
	Hello remote();

	/**
	 * Sends a frame. Frames from one thread arrive in order or the connection ends.
	 * @param frame the frame
	 * @return whether the frame was handed to the connection; if not, no byte of it left
	 */
	boolean send(Frame frame);

	/**
	 * Closes the connection.
	 */
	void close();

}
