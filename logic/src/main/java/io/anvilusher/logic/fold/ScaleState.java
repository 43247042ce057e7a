package io.anvilusher.logic.fold;

import java.util.Map;

import io.anvilusher.model.fact.ScaleIntended;
import io.anvilusher.model.fact.ScaleSettled;
import io.anvilusher.model.scale.ScaleChange;
import io.anvilusher.model.scale.ScaleIntent;

/**
 * The intents to order or release backend servers. Each fleet, which is the servers of
 * one service in one data centre, has at most one open intent.
 *
 * @param open the intents to which no response of the platform is recorded, by fleet
 * @param lastOffset offset of the newest accepted record, by fleet
 */
public record ScaleState(Map<String, ScaleIntent> open, Map<String, Long> lastOffset) {

	/** The state before the first intent. */
	static final ScaleState EMPTY = new ScaleState(Map.of(), Map.of());

	public ScaleState {
		open = PersistentMaps.of(open);
		lastOffset = PersistentMaps.of(lastOffset);
	}

	/**
	 * Returns the name of the fleet that a change belongs to.
	 * @param change the change
	 * @return data centre and service, joined by a slash
	 */
	public static String fleetOf(ScaleChange change) {
		return change.dataCentre() + "/" + change.service();
	}

	/**
	 * Returns the offset that the next intent for a fleet has to be based on.
	 * @param fleet name of the fleet
	 * @return offset of the newest accepted record about the fleet; 0 when there is none
	 */
	public long baseOf(String fleet) {
		return this.lastOffset.getOrDefault(fleet, 0L);
	}

	FoldResult<ScaleState> intend(long offset, ScaleIntended fact, LeaseState leases) {
		String fleet = fleetOf(fact.change());
		if (!leases.isCurrent(fact.lease(), fact.term())) {
			return FoldResult.refused(this, Verdict.TERM_OVER);
		}
		if (this.open.containsKey(fleet)) {
			return FoldResult.refused(this, Verdict.ORDER_OPEN);
		}
		if (baseOf(fleet) != fact.basedOnOffset()) {
			return FoldResult.refused(this, Verdict.STALE_BASE);
		}
		ScaleIntent intent = new ScaleIntent(fact.scaleId(), fact.lease(), fact.term(), fact.change());
		return FoldResult.accepted(new ScaleState(PersistentMaps.with(this.open, fleet, intent),
				PersistentMaps.with(this.lastOffset, fleet, offset)));
	}

	FoldResult<ScaleState> settle(long offset, ScaleSettled fact, LeaseState leases) {
		if (!leases.isCurrent(fact.lease(), fact.term())) {
			return FoldResult.refused(this, Verdict.TERM_OVER);
		}
		return this.open.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().scaleId().equals(fact.scaleId()))
			.findFirst()
			.map((entry) -> FoldResult.accepted(new ScaleState(PersistentMaps.without(this.open, entry.getKey()),
					PersistentMaps.with(this.lastOffset, entry.getKey(), offset))))
			.orElseGet(() -> FoldResult.refused(this, Verdict.NOT_OPEN));
	}

}
