package io.anvilusher.model.fact;

import io.anvilusher.model.scale.ScaleChange;

/**
 * The controller intends to order a backend server from the platform or to release one.
 * It calls the platform only after this fact was accepted.
 *
 * @param scaleId id of the intent, which is also the idempotency key of the platform call
 * @param lease lease under which the controller acted when it appended the fact
 * @param term term of that lease; the fact has no effect if the term is no longer current
 * @param change the change to the fleet
 * @param basedOnOffset offset of the newest record about the fleet of the service in the
 * data centre that the controller had read; 0 if it had read none
 */
public record ScaleIntended(String scaleId, String lease, long term, ScaleChange change,
		long basedOnOffset) implements Fact {

}
