package io.anvilusher.gateway.peer;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The registered gateways at one time.
 */
final class PeerList {

	static final PeerList EMPTY = new PeerList(Map.of());

	private final Map<String, Peer> byName;

	private final List<Peer> ordered;

	/**
	 * Creates a list.
	 * @param byName the gateways by name
	 */
	PeerList(Map<String, Peer> byName) {
		this.byName = Map.copyOf(byName);
		this.ordered = this.byName.values().stream().sorted(Comparator.comparing(Peer::name)).toList();
	}

	List<Peer> ordered() {
		return this.ordered;
	}

	Optional<Peer> find(String name) {
		return Optional.ofNullable(this.byName.get(name));
	}

}
