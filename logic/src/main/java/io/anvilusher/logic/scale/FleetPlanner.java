package io.anvilusher.logic.scale;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.anvilusher.model.scale.ScaleChange;
import io.anvilusher.model.scale.ScaleKind;

/**
 * Decides when a fleet grows or shrinks by one server. It grows as soon as the demand
 * needs more than the target utilization; it shrinks only after the demand has stayed low
 * for a while, so that a short lull does not cost a server that is needed minutes later.
 * Used from one thread.
 */
public final class FleetPlanner {

	/** Target utilization of a deployment that weighs goodput and cost alike. */
	private static final double BASE_UTILIZATION = 0.75;

	/** How far the target falls for each doubling of the weight of goodput. */
	private static final double UTILIZATION_PER_DOUBLING = 0.08;

	private static final double MIN_UTILIZATION = 0.4;

	private static final double MAX_UTILIZATION = 0.9;

	private final long shrinkAfterMs;

	private final Map<String, Long> lowSinceMs = new HashMap<>();

	/**
	 * Creates a planner.
	 * @param shrinkAfterMs how long the demand must stay low before a server is given
	 * back
	 */
	public FleetPlanner(long shrinkAfterMs) {
		this.shrinkAfterMs = shrinkAfterMs;
	}

	/**
	 * Plans the next change of a fleet.
	 * @param nowMs monotonic time
	 * @param load the fleet
	 * @return the change, or empty if the fleet fits the demand
	 */
	public Optional<ScaleChange> plan(long nowMs, FleetLoad load) {
		int wanted = wanted(load);
		int owned = load.servers().size() + load.pending();
		String fleet = load.dataCentre() + "/" + load.service();
		if (wanted >= owned) {
			this.lowSinceMs.remove(fleet);
			return (wanted > owned) ? Optional.of(change(ScaleKind.ORDER, load, "")) : Optional.empty();
		}
		long sinceMs = this.lowSinceMs.computeIfAbsent(fleet, (key) -> nowMs);
		if (nowMs - sinceMs < this.shrinkAfterMs || load.pending() > 0 || load.servers().isEmpty()) {
			return Optional.empty();
		}
		this.lowSinceMs.remove(fleet);
		return Optional.of(change(ScaleKind.RELEASE, load, load.servers().get(load.servers().size() - 1)));
	}

	private static int wanted(FleetLoad load) {
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
