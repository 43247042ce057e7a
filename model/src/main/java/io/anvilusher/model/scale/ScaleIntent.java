package io.anvilusher.model.scale;

/**
 * An intent to change the fleet that the platform has not answered.
 *
 * @param scaleId id of the intent, which is also the idempotency key of the platform call
 * @param lease lease under which it was given
 * @param term term of that lease
 * @param change the change
 */
public record ScaleIntent(String scaleId, String lease, long term, ScaleChange change) {

}
