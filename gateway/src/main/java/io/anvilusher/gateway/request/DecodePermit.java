package io.anvilusher.gateway.request;

import io.anvilusher.logic.limit.PermitHolder;
import io.anvilusher.logic.placement.TrackedServer;

/**
 * A permit to send a request to a decode engine once its prompt has been prefilled.
 *
 * @param engine the decode engine
 * @param takenAtMs time at which the permit was taken, by the monotonic clock
 */
record DecodePermit(TrackedServer engine, long takenAtMs) {

	boolean isValid(TrackedServer target, long nowMs) {
		return this.engine == target && nowMs - this.takenAtMs < PermitHolder.PERMIT_MS;
	}

}
