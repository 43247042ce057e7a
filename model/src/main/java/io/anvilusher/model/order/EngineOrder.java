package io.anvilusher.model.order;

/**
 * An order to an engine that has not ended.
 *
 * @param orderId id of the order
 * @param lease lease under which it was given
 * @param term term of that lease
 * @param fencingToken offset of the intent; later orders have higher tokens
 * @param server the backend server
 * @param target what the engine shall become
 * @param startedBy incarnation of the sidecar that started it; empty when none has
 */
public record EngineOrder(String orderId, String lease, long term, long fencingToken, String server,
		EngineTarget target, String startedBy) {

	/**
	 * Tells whether a sidecar has started the order.
	 * @return whether one has
	 */
	public boolean isStarted() {
		return !this.startedBy.isEmpty();
	}

	/**
	 * Returns the order as started.
	 * @param sidecarIncarnation incarnation of the sidecar
	 * @return the started order
	 */
	public EngineOrder startedBy(String sidecarIncarnation) {
		return new EngineOrder(this.orderId, this.lease, this.term, this.fencingToken, this.server, this.target,
				sidecarIncarnation);
	}

}
