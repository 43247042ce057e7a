package io.anvilusher.model.order;

/**
 * An open order to change an engine. It ends when it is settled, abandoned, or overtaken
 * by a new term before its start.
 *
 * @param orderId id of the order
 * @param lease lease under which the order was issued
 * @param term term of that lease
 * @param fencingToken offset of the intent; later orders have higher tokens
 * @param server name of the backend server
 * @param target the role, model, adapter and version that the engine must change to
 * @param startedBy incarnation of the sidecar that started it last; empty if none has
 */
public record EngineOrder(String orderId, String lease, long term, long fencingToken, String server,
		EngineTarget target, String startedBy) {

	/**
	 * Returns whether a sidecar has started the order.
	 * @return whether the order was started
	 */
	public boolean isStarted() {
		return !this.startedBy.isEmpty();
	}

	/**
	 * Returns the order as started by a sidecar.
	 * @param sidecarIncarnation incarnation of the sidecar
	 * @return the started order
	 */
	public EngineOrder startedBy(String sidecarIncarnation) {
		return new EngineOrder(this.orderId, this.lease, this.term, this.fencingToken, this.server, this.target,
				sidecarIncarnation);
	}

}
