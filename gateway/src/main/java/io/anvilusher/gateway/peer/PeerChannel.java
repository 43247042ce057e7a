package io.anvilusher.gateway.peer;

import java.util.List;

/**
 * Best-effort messages between the gateways of a deployment. Messages can be lost,
 * delayed or duplicated. Used on the traffic thread, except {@link #activate()}.
 */
public interface PeerChannel {

	/**
	 * Starts to listen, registers this gateway and follows the list of gateways. Returns
	 * at once; calls after the first one have no effect. May be called on any thread.
	 */
	void activate();

	/**
	 * Returns the name of this gateway.
	 * @return the name
	 */
	String self();

	/**
	 * Returns the registered gateways, including this one once it is registered.
	 * @return the gateways, ordered by name; empty before the first read of the list
	 */
	List<Peer> peers();

	/**
	 * Sends a message to a gateway. A message to {@link #self()} is delivered locally
	 * after the current step of the traffic thread. A message that cannot be sent is
	 * dropped and counted.
	 * @param peerName name of the receiving gateway
	 * @param type type of the message
	 * @param payload content of the message, at most
	 * {@link PeerDatagram#maxPayloadBytes(String)} bytes
	 */
	void send(String peerName, MessageType type, byte[] payload);

	/**
	 * Sets the receiver of a type of message; it replaces the previous one.
	 * @param type type of the messages
	 * @param receiver receives the messages on the traffic thread
	 */
	void onMessage(MessageType type, Receiver receiver);

	/**
	 * Receives messages of one type.
	 */
	@FunctionalInterface
	interface Receiver {

		/**
		 * Receives a message. An exception ends only the processing of this message.
		 * @param peerName name of the registered gateway that sent it
		 * @param payload content of the message
		 */
		void receive(String peerName, byte[] payload);

	}

}
