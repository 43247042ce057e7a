package io.anvilusher.logic.scale;

import java.util.List;

import io.anvilusher.model.config.ScaleSpec;

/**
 * The backend servers of one service in one data centre, as seen at a moment.
 *
 * @param dataCentre the data centre
 * @param service the service
 * @param scale limits of the fleet
 * @param servers servers that take work, by name
 * @param pending servers ordered that do not take work yet
 * @param demandSlots calls that run or wait, averaged over some time
 * @param slotsPerServer calls that one server runs at once
 */
public record FleetLoad(String dataCentre, String service, ScaleSpec scale, List<String> servers, int pending,
		double demandSlots, int slotsPerServer) {

	public FleetLoad {
		servers = List.copyOf(servers);
	}

}
