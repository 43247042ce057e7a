package io.anvilusher.model.scale;

/**
 * An intent to change a fleet to which no response of the platform is recorded.
 *
 * @param scaleId id of the intent, which is also the idempotency key of the platform call
 * @param lease lease under which the intent was appended
 * @param term term of that lease
 * @param change the change to the fleet
 */
public record ScaleIntent(String scaleId, String lease, long term, ScaleChange change) {

}
