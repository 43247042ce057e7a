package io.anvilusher.logic.role;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.anvilusher.model.fleet.EngineRole;

/**
 * Orders that engines may still carry out, because no report shows their result yet. It
 * covers answers that are lost, orders that arrive late and reports that lag behind an
 * accepted order. Confined to one thread.
 */
public final class PendingOrders {

	/**
	 * Time for which an order is regarded as pending unless a report shows its result; an
	 * order that arrives late is carried out within seconds.
	 */
	public static final long VALIDITY_MS = 10_000;

	private final Map<String, PendingOrder> byEngine = new HashMap<>();

	/**
	 * Records that an order is being sent.
	 * @param engineId id of the engine
	 * @param role the ordered role
	 * @param nowMs current time of the monotonic clock
	 */
	public void onSent(String engineId, EngineRole role, long nowMs) {
		this.byEngine.put(engineId, new PendingOrder(role, nowMs + VALIDITY_MS));
	}

	/**
	 * Records that the engine will not carry out the order.
	 * @param engineId id of the engine
	 */
	public void onRejected(String engineId) {
		this.byEngine.remove(engineId);
	}

	/**
	 * Compares a report of an engine with the order that is pending for it.
	 * @param engineId id of the engine
	 * @param role reported role
	 * @param changing whether the engine reports that it is carrying out an order
	 * @param nowMs current time of the monotonic clock
	 * @return role of the order if it is still pending
	 */
	public Optional<EngineRole> onReport(String engineId, EngineRole role, boolean changing, long nowMs) {
		PendingOrder order = this.byEngine.get(engineId);
		if (order == null) {
			return Optional.empty();
		}
		boolean completed = order.role() == role && !changing;
		if (completed || order.validUntilMs() <= nowMs) {
			this.byEngine.remove(engineId);
			return Optional.empty();
		}
		return Optional.of(order.role());
	}

	private record PendingOrder(EngineRole role, long validUntilMs) {

	}

}
