package io.anvilusher.model.fact;

import io.anvilusher.model.request.ClaimResult;

/**
 * The outcome of a claimed call is known.
 *
 * @param claimKey hash of workspace, service and the caller's idempotency key
 * @param attemptId the attempt
 * @param result the outcome
 */
public record IdempotencySettled(String claimKey, String attemptId, ClaimResult result) implements Fact {

}
