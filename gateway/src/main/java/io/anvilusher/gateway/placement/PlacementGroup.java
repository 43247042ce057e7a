package io.anvilusher.gateway.placement;

import java.util.List;
import java.util.stream.IntStream;

import io.anvilusher.logic.routing.Rendezvous;

/**
 * Some of the engines of a service that one coordinator places requests on.
 *
 * @param service name of the service
 * @param index number of the group within its service
 */
record PlacementGroup(String service, int index) {

	/**
	 * Number of engines up to which a service has one group: what one gateway can
	 * coordinate at the expected load of the engines.
	 */
	static final int MAX_ENGINES = 48;

	/**
	 * Returns the groups of a service.
	 * @param service name of the service
	 * @param engines number of its engines
	 * @return the groups, at least one
	 */
	static List<PlacementGroup> of(String service, int engines) {
		return IntStream.range(0, Math.max(1, (engines + MAX_ENGINES - 1) / MAX_ENGINES))
			.mapToObj((index) -> new PlacementGroup(service, index))
			.toList();
	}

	/**
	 * Selects the group of an engine or of a prompt part.
	 * @param groups the groups of the service
	 * @param key id of the engine or part
	 * @return the same group on all gateways
	 */
	static PlacementGroup select(List<PlacementGroup> groups, String key) {
		return Rendezvous.sortByRank(groups, (group) -> Rendezvous.rank(group.name(), key, 1)).get(0);
	}

	String name() {
		return this.service + "/" + this.index;
	}

}
