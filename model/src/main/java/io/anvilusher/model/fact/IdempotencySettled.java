package io.anvilusher.model.fact;

import io.anvilusher.model.request.ClaimResult;

/**
 * The outcome of a request with an idempotency claim is known.
 *
 * @param claimKey hash of workspace, service and the caller's idempotency key
 * @param attemptId id of the attempt that was claimed
 * @param result outcome of the request
 */
public record IdempotencySettled(String claimKey, String attemptId, ClaimResult result) implements Fact {

}
