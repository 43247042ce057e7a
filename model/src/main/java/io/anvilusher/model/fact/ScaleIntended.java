package io.anvilusher.model.fact;

import io.anvilusher.model.scale.ScaleChange;

/**
 * The controller is about to order or release a backend server with the platform.
 *
 * @param scaleId id of the intent, which is also the idempotency key of the platform call
 * @param lease lease under which the controller acts
 * @param term term of that lease
 * @param change what to order or release
 * @param basedOnOffset offset of the newest record about the fleet of the service in the
 * data centre that the controller had read; 0 when there was none
 */
public record ScaleIntended(String scaleId, String lease, long term, ScaleChange change,
		long basedOnOffset) implements Fact {

}
