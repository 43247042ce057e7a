package io.anvilusher.gateway.peer;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Format of a datagram between gateways: 1 byte version, 1 byte type, 1 byte length of
 * the sender's name, the name in UTF-8, and the payload.
 */
public final class PeerDatagram {

	/** Largest datagram; it fits into one packet of common networks. */
	static final int MAX_BYTES = 1_200;

	private static final int VERSION = 1;

	private static final int HEAD_BYTES = 3;

	private static final int MAX_NAME_BYTES = 255;

	private PeerDatagram() {
	}

	/**
	 * Returns the size of the largest payload that a gateway can send.
	 * @param sender name of the gateway
	 * @return the size in bytes
	 */
	public static int maxPayloadBytes(String sender) {
		return MAX_BYTES - HEAD_BYTES - nameBytes(sender).length;
	}

	/**
	 * Returns whether a name can be sent.
	 * @param name name of a gateway
	 * @return whether it has 1 to 255 bytes
	 */
	static boolean isName(String name) {
		return !name.isEmpty() && nameBytes(name).length <= MAX_NAME_BYTES;
	}

	private static byte[] nameBytes(String name) {
		return name.getBytes(StandardCharsets.UTF_8);
	}

	/**
	 * Encodes a message.
	 * @param sender name of the sender
	 * @param type type of the message
	 * @param payload content of the message
	 * @return the datagram, or empty if the name or the payload is too long
	 */
	static Optional<byte[]> encode(String sender, MessageType type, byte[] payload) {
		if (!isName(sender) || payload.length > maxPayloadBytes(sender)) {
			return Optional.empty();
		}
		byte[] name = nameBytes(sender);
		return Optional.of(ByteBuffer.allocate(HEAD_BYTES + name.length + payload.length)
			.put((byte) VERSION)
			.put((byte) type.code())
			.put((byte) name.length)
			.put(name)
			.put(payload)
			.array());
	}

	/**
	 * Decodes a datagram.
	 * @param datagram the bytes received
	 * @return the message, or why there is none
	 */
	static Decoded decode(ByteBuffer datagram) {
		if (datagram.remaining() > MAX_BYTES) {
			return new Decoded.Unusable(DropReason.TOO_LARGE);
		}
		if (datagram.remaining() < HEAD_BYTES) {
			return new Decoded.Unusable(DropReason.TOO_SHORT);
		}
		if (Byte.toUnsignedInt(datagram.get()) != VERSION) {
			return new Decoded.Unusable(DropReason.VERSION);
		}
		Optional<MessageType> type = MessageType.of(Byte.toUnsignedInt(datagram.get()));
		int nameLength = Byte.toUnsignedInt(datagram.get());
		if (nameLength == 0 || nameLength > datagram.remaining()) {
			return new Decoded.Unusable(DropReason.TOO_SHORT);
		}
		byte[] name = new byte[nameLength];
		datagram.get(name);
		byte[] payload = new byte[datagram.remaining()];
		datagram.get(payload);
		return type
			.<Decoded>map((known) -> new Decoded.Message(new String(name, StandardCharsets.UTF_8), known, payload))
			.orElseGet(() -> new Decoded.Unusable(DropReason.TYPE_UNKNOWN));
	}

	/**
	 * Result of decoding a datagram.
	 */
	sealed interface Decoded {

		/**
		 * A message.
		 *
		 * @param sender name of the sender as it states it
		 * @param type type of the message
		 * @param payload content of the message
		 */
		record Message(String sender, MessageType type, byte[] payload) implements Decoded {

		}

		/**
		 * A datagram without a usable message.
		 *
		 * @param reason why it is dropped
		 */
		record Unusable(DropReason reason) implements Decoded {

		}

	}

}
