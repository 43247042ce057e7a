package io.anvilusher.logic.scale;

import java.util.List;

import io.anvilusher.model.config.ScaleSpec;

/**
 * Size and load of a fleet, which is the backend servers of one service in one data
 * centre.
 *
 * @param dataCentre name of the data centre
 * @param service name of the service
 * @param scale limits on the size of the fleet
 * @param servers names of the servers that take new work; the last one is released first
 * @param pending number of servers that were ordered but do not take work yet
 * @param demandSlots slots that requests need, averaged over time
 * @param slotsPerServer requests that one server runs at once
 */
public record FleetLoad(String dataCentre, String service, ScaleSpec scale, List<String> servers, int pending,
		double demandSlots, int slotsPerServer) {

	public FleetLoad {
		servers = List.copyOf(servers);
	}

}
