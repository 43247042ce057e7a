package io.anvilusher.model.fact;

/**
 * Claims up to an offset are older than the retention period of idempotency keys.
 *
 * @param lease lease under which the controller acts
 * @param term term of that lease
 * @param throughOffset newest offset whose claims end
 */
public record IdempotencyExpired(String lease, long term, long throughOffset) implements Fact {

}
