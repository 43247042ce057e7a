package io.anvilusher.gateway.peer;

import java.io.IOException;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import io.anvilusher.adapters.process.SocketAddresses;

/**
 * Format of a gateway's entry in the list of gateways: a JSON object under the name of
 * the gateway.
 */
final class PeerEntry {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private PeerEntry() {
	}

	/**
	 * Encodes an entry.
	 * @param peer the gateway
	 * @return the value of its entry
	 */
	static byte[] encode(Peer peer) {
		try {
			return MAPPER.writeValueAsBytes(MAPPER.createObjectNode()
				.put("address", SocketAddresses.format(peer.address()))
				.put("dataCentre", peer.dataCentre())
				.put("capacity", peer.capacity()));
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("The entry of a gateway could not be written as JSON", ex);
		}
	}

	/**
	 * Decodes an entry.
	 * @param name key of the entry
	 * @param value its value
	 * @return the gateway, or empty if the entry is not usable
	 */
	static Optional<Peer> decode(String name, byte[] value) {
		try {
			JsonNode root = MAPPER.readTree(value);
			JsonNode capacity = root.path("capacity");
			boolean usable = PeerDatagram.isName(name) && root.path("address").isTextual()
					&& root.path("dataCentre").isTextual() && capacity.isNumber()
					&& Double.isFinite(capacity.doubleValue()) && capacity.doubleValue() > 0;
			return usable ? SocketAddresses.parse(root.path("address").textValue())
				.filter((address) -> address.getPort() > 0 && !address.getAddress().isAnyLocalAddress())
				.map((address) -> new Peer(name, address, root.path("dataCentre").textValue(), capacity.doubleValue()))
					: Optional.empty();
		}
		catch (IOException ex) {
			// The reader of the list logs and counts each entry that is not usable.
			return Optional.empty();
		}
	}

}
