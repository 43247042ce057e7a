package io.anvilusher.logic.scale;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.anvilusher.model.scale.ScaleChange;
import io.anvilusher.model.scale.ScaleKind;

/**
 * Decides when a fleet grows or shrinks by one server. The fleet grows as soon as the
 * demand would exceed the target utilization. It shrinks only after the demand has stayed
 * low for a while, because otherwise a short drop in demand would release a server that
 * is needed again minutes later. Not safe for use by several threads.
 */
public final class FleetPlanner {

	/** Target utilization when goodput and cost have the same weight. */
	private static final double BASE_UTILIZATION = 0.75;

	/** Reduction of the target utilization for each doubling of the goodput weight. */
	private static final double UTILIZATION_PER_DOUBLING = 0.08;

	private static final double MIN_UTILIZATION = 0.4;

	private static final double MAX_UTILIZATION = 0.9;

	private final long shrinkAfterMs;

	private final Map<String, Long> lowDemandSinceMs = new HashMap<>();

	/**
	 * Creates a planner.
	 * @param shrinkAfterMs how long the demand must stay low before a server is released,
	 * in ms
	 */
	public FleetPlanner(long shrinkAfterMs) {
		this.shrinkAfterMs = shrinkAfterMs;
	}

	/**
	 * Plans the next change of a fleet.
	 * @param nowMs monotonic time, in ms
	 * @param load size and load of the fleet
	 * @return the change, or empty if the fleet keeps its size for now
	 */
	public Optional<ScaleChange> plan(long nowMs, FleetLoad load) {
		int desiredServers = desiredServers(load);
		int existingServers = load.servers().size() + load.pending();
		String fleet = load.dataCentre() + "/" + load.service();
		if (desiredServers >= existingServers) {
			this.lowDemandSinceMs.remove(fleet);
			return (desiredServers > existingServers) ? Optional.of(change(ScaleKind.ORDER, load, ""))
					: Optional.empty();
		}
		long sinceMs = this.lowDemandSinceMs.computeIfAbsent(fleet, (key) -> nowMs);
		if (nowMs - sinceMs < this.shrinkAfterMs || load.pending() > 0 || load.servers().isEmpty()) {
			return Optional.empty();
		}
		this.lowDemandSinceMs.remove(fleet);
		return Optional.of(change(ScaleKind.RELEASE, load, load.servers().get(load.servers().size() - 1)));
	}

	private static int desiredServers(FleetLoad load) {
		double doublings = Math.log(Math.max(0.01, load.scale().goodputWeight())) / Math.log(2);
		double utilization = Math.min(MAX_UTILIZATION,
				Math.max(MIN_UTILIZATION, BASE_UTILIZATION - UTILIZATION_PER_DOUBLING * doublings));
		int needed = (int) Math.ceil(load.demandSlots() / (utilization * Math.max(1, load.slotsPerServer())));
		return Math.min(load.scale().maxServers(), Math.max(load.scale().minServers(), needed));
	}

	private static ScaleChange change(ScaleKind kind, FleetLoad load, String server) {
		return new ScaleChange(kind, load.dataCentre(), load.service(), server);
	}

}
